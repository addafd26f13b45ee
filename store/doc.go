// Package store accesses the platform's key-value service: a narrow interface,
// its errors, and a gRPC client.
//
// The service has outages, and a reply can be lost after a write took effect.
// A write that returns *[UnknownError] may or may not have taken effect; the
// writer has to read the entry before it retries.
package store
