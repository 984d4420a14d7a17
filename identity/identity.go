// Package identity creates unique identifiers for incarnations of processes,
// submissions and edits.
//
// # Usage
//
//	id := identity.New("entry") // such as entry-1b4e28ba2fa11d2
package identity

import "github.com/rs/xid"

// New returns an identifier with the given kind as its prefix. No other call, in
// this or any other process, returns the same one.
func New(kind string) string {
	return kind + "-" + xid.New().String()
}
