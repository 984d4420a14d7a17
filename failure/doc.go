// Package failure tests entries and agents in virtual time under each kind of
// failure and each pair of failures.
//
// # Model
//
// The tests run complete entries and agents, as their daemons do, inside a
// testing/synctest bubble. Only their environment is simulated: the network,
// the key-value service, the target and the callers. The in-memory network can
// hold back what one host sends to another, or everything that a paused host
// sends and receives. A paused entry blocks when it reads the clock, so none of
// its goroutines makes progress. The checks compare the answers with the
// targets' journals and with the history of each job key. The package holds
// tests only.
//
// # Usage
//
//	go test ./failure
package failure
