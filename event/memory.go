package event

import "github.com/sirupsen/logrus"

// Events 9150 to 9159 are about the memory of an instance.
var (
	// MemoryExhausted is logged at most once a second.
	MemoryExhausted = define(9150, logrus.WarnLevel, "memoryExhausted", "The process holds as much for callers and servers as its memory allows: no further bodies are read, and requests that have run nowhere are refused with status 503. The fields give the bytes by purpose. Add instances, or memory to each, if it recurs.")
)
