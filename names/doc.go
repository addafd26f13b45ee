// Package names declares the typed identifiers that other packages share.
package names
