package event

import "github.com/sirupsen/logrus"

// Events 100 to 109 are about the start and stop of any process.
var (
	// ProcessStarted is logged when a process begins to serve.
	ProcessStarted = define(100, logrus.InfoLevel, "processStarted", "The process serves on the addresses given.")
	// ProcessStopping is logged when a graceful stop begins.
	ProcessStopping = define(101, logrus.InfoLevel, "processStopping", "A graceful stop began; running requests are finished.")
	// ProcessStopped is logged at the end of a graceful stop.
	ProcessStopped = define(102, logrus.InfoLevel, "processStopped", "The graceful stop is complete.")
)

// Events 110 to 119 are about certificates.
var (
	// CertificateKept is logged when certificate files cannot be reloaded.
	CertificateKept = define(110, logrus.ErrorLevel, "certificateKept", "Certificate files cannot be reloaded; the previous certificate stays in use until it expires. Correct the files named in the cause.")
)

// Events 120 to 129 are about listeners.
var (
	// ListenerFailed is logged when a listener ends although no stop was
	// requested.
	ListenerFailed = define(120, logrus.ErrorLevel, "listenerFailed", "A listener ended unexpectedly. The process no longer serves on its address; restart it.")
	// HandlerPanicked is logged when the handler of a request or call panics.
	HandlerPanicked = define(121, logrus.ErrorLevel, "handlerPanicked", "Handling a request or a call between processes failed because of a fault in the program. Its connection was closed, or the call failed; it may have had an effect. Report the fault with the stack.")
)
