// Package codec converts between the messages of package wire and domain types.
package codec
