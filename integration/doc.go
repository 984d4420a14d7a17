// Package integration tests real processes on loopback, with proxies that inject
// faults. The checks compare the answers that callers got with the targets' own
// journals.
//
// # Usage
//
//	go test ./integration
package integration
