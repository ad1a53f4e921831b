// Package peerpb contains the generated encoding of the messages between balancers.
//
// # Usage
//
//	make generate
package peerpb
