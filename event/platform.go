package event

import "github.com/sirupsen/logrus"

// Events 9000 to 9099 are about the platform's key-value service, the policy and
// registry read from it, backend servers, the settings file, and the connections
// and log of the process.
var (
	// MirrorReset is logged when a watch has to restart from a full read.
	MirrorReset = define(9000, logrus.InfoLevel, "mirrorReset", "A watch cannot continue from its last revision, or delivers no changes; all keys under its prefix are read again.")
	// StoreLost is logged when calls to the service begin to fail.
	StoreLost = define(9001, logrus.WarnLevel, "storeLost", "The platform's key-value service does not answer this process. The last known values stay in use.")
	// StoreRegained is logged when calls to the service succeed again.
	StoreRegained = define(9002, logrus.InfoLevel, "storeRegained", "The platform's key-value service answers this process again.")
	// RevisionUnread is logged when the service's current revision cannot be
	// read.
	RevisionUnread = define(9003, logrus.WarnLevel, "revisionUnread", "The current revision of the platform's key-value service cannot be read; until it can, it is unknown whether the watch lags.")
	// RevisionRead is logged when the service's current revision can be read again.
	RevisionRead = define(9004, logrus.InfoLevel, "revisionRead", "The current revision of the platform's key-value service can be read again.")
	// StoreItemUnread is logged when an item of a list or watch cannot be decoded.
	StoreItemUnread = define(9005, logrus.WarnLevel, "storeItemUnread", "An item of the platform's key-value service has no readable key or revision and is left out; the other items of the answer are used.")
	// PolicyInForce is logged when a version of the operators' policy takes effect.
	PolicyInForce = define(9010, logrus.InfoLevel, "policyInForce", "A version of the operators' routes, services and accounts is in force in this process.")
	// PolicyUnread is logged when a version of the policy cannot be used.
	PolicyUnread = define(9011, logrus.ErrorLevel, "policyUnread", "A version of the operators' policy cannot be used; the previous one stays in force. Correct the fault named in the cause.")
	// ServerListed is logged when a backend server's entry in the registry is new or
	// has changed.
	ServerListed = define(9020, logrus.InfoLevel, "serverListed", "A backend server's entry in the registry is new or has changed.")
	// ServerUnlisted is logged when a backend server's entry is removed from the
	// registry.
	ServerUnlisted = define(9021, logrus.InfoLevel, "serverUnlisted", "A backend server's entry was removed from the registry; the server gets no new requests, except in the grace period after an outage of the service.")
	// ServerEntryUnread is logged when an entry of the registry cannot be used.
	ServerEntryUnread = define(9022, logrus.WarnLevel, "serverEntryUnread", "An entry of the registry does not describe a usable backend server and is ignored; a server that had a usable one gets no new requests until it has one again.")
	// ServerEjected is logged when a backend server gets no requests for a time
	// because it failed some.
	ServerEjected = define(9030, logrus.WarnLevel, "serverEjected", "A backend server failed requests and gets no new ones until the time given.")
	// ServerReturned is logged when an ejected backend server answers again.
	ServerReturned = define(9031, logrus.InfoLevel, "serverReturned", "An ejected backend server answers again.")
	// ServerLeaving is logged when a backend server announces in an answer that it leaves.
	ServerLeaving = define(9032, logrus.InfoLevel, "serverLeaving", "A backend server announced in an answer that it leaves; it gets no further requests until it has restarted.")
	// ServerRests is logged when a backend server asks for a pause in requests.
	ServerRests = define(9033, logrus.InfoLevel, "serverRests", "A backend server rejected a request and asked for no more for the seconds given.")
	// ServerRateDeclared is logged when a backend server begins to declare a request
	// rate, or declares another one.
	ServerRateDeclared = define(9034, logrus.InfoLevel, "serverRateDeclared", "A backend server declared in an answer how many requests a second it accepts from all entries together.")
	// ServerRateEnded is logged when a backend server no longer declares a request
	// rate.
	ServerRateEnded = define(9035, logrus.InfoLevel, "serverRateEnded", "A backend server no longer declares a request rate.")
	// SettingsReloaded is logged when the settings file was reloaded.
	SettingsReloaded = define(9040, logrus.InfoLevel, "settingsReloaded", "The settings file was reloaded.")
	// SettingsKept is logged when a changed settings file cannot be used.
	SettingsKept = define(9041, logrus.ErrorLevel, "settingsKept", "The settings file cannot be used; the previous settings stay in force. Correct the faults named in the cause.")
	// ConnectionFault is logged when an HTTP server or client reports an error of a
	// connection.
	ConnectionFault = define(9051, logrus.WarnLevel, "connectionFault", "An HTTP server or client reported an error of a connection, such as a response to no request; the cause is its own error text.")
	// LogLinesDropped is logged when log lines were dropped so that serving is not
	// delayed.
	LogLinesDropped = define(9050, logrus.WarnLevel, "logLinesDropped", "Log lines were dropped because standard output accepted them too slowly.")
)

// Events 9100 to 9199 are about requests that are forwarded to backend servers.
var (
	// RequestDone is logged when a request got its whole answer from a
	// backend server.
	RequestDone = define(9100, logrus.InfoLevel, "requestDone", "A request got its whole answer from a backend server.")
	// RequestRefused is logged when a request is refused without having run.
	RequestRefused = define(9101, logrus.InfoLevel, "requestRefused", "A request was refused without having run. The fields give the reason and the values behind it.")
	// RequestFailed is logged when a request fails after it may have run.
	RequestFailed = define(9102, logrus.WarnLevel, "requestFailed", "A request failed after it was sent to a backend server; it may have run.")
	// RequestCut is logged when an answer breaks off after it began.
	RequestCut = define(9103, logrus.WarnLevel, "requestCut", "An answer broke off after it began; the caller sees a closed connection.")
	// RequestLeft is logged when the caller disconnects.
	RequestLeft = define(9104, logrus.InfoLevel, "requestLeft", "The caller closed the connection before the answer was complete.")
	// RequestResent is logged when a request is sent to another backend server.
	RequestResent = define(9105, logrus.InfoLevel, "requestResent", "A request is sent to another backend server, because the previous one did not run it or because it may be repeated.")
	// RequestSuspected is logged when a server ended while it ran a request.
	RequestSuspected = define(9107, logrus.WarnLevel, "requestSuspected", "A backend server ended while it ran a request. Once this has happened on three servers, every entry refuses requests with the same fingerprint, or with the same part in their prompts if none with it was answered since.")
	// SuspicionCleared is logged when a server that broke off a request proves to be
	// alive.
	SuspicionCleared = define(9108, logrus.InfoLevel, "suspicionCleared", "A backend server broke off a request but sent bytes afterwards, so it has not ended.")
	// QuarantineBegun is logged when an entry begins to refuse requests with a
	// fingerprint.
	QuarantineBegun = define(9109, logrus.WarnLevel, "quarantineBegun", "This process refuses requests with the fingerprint from now on, or with the part of prompts that has it: enough backend servers ended while they ran one.")
	// QuarantineEnded is logged when an entry ceases to refuse requests with a
	// fingerprint.
	QuarantineEnded = define(9110, logrus.InfoLevel, "quarantineEnded", "This process no longer refuses requests with the fingerprint: the suspicions have expired, or a prompt with the part was answered.")
	// ResponseSkipped is logged when a response on a connection is skipped because it
	// belongs to no current request.
	ResponseSkipped = define(9111, logrus.WarnLevel, "responseSkipped", "A backend server sent a response that does not belong to the request on its connection; it was skipped. The fields give its status and the request that it names, if any.")
	// ResponseUnproven is logged when a response is not forwarded because it lacks what
	// proves that a server gave it, or contradicts itself.
	ResponseUnproven = define(9112, logrus.WarnLevel, "responseUnproven", "A response from the address of a backend server is a success without what proves that the server gave it, or contradicts itself on whether the request was run, or does not continue the stream that it was to resume; it was not forwarded, and the request counts as run. The cause names the defect.")
	// QuarantineProbed is logged when a request is sent although a part of its prompt is
	// quarantined.
	QuarantineProbed = define(9113, logrus.InfoLevel, "quarantineProbed", "A request is sent to one backend server although parts of its prompt are quarantined, to find out whether they still crash servers.")
	// RequestWaits is logged when a request waits for a model to be loaded.
	RequestWaits = define(9106, logrus.InfoLevel, "requestWaits", "A request waits until its model or adapter is loaded.")
)

// Events 9200 to 9299 are about coordination between entries.
var (
	// CoordinatorElected is logged when this process begins to coordinate.
	CoordinatorElected = define(9200, logrus.InfoLevel, "coordinatorElected", "This process coordinates placement and shares; the term is its fencing token.")
	// CoordinatorEnded is logged when this process stops coordinating.
	CoordinatorEnded = define(9201, logrus.InfoLevel, "coordinatorEnded", "This process no longer coordinates.")
	// CoordinatorKnown is logged when the process learns that the coordinator has
	// changed.
	CoordinatorKnown = define(9202, logrus.InfoLevel, "coordinatorKnown", "The process given coordinates placement and shares; empty means that none does.")
	// CoordinatorLost is logged when the coordinator stops answering.
	CoordinatorLost = define(9203, logrus.WarnLevel, "coordinatorLost", "The coordinator does not answer; shares and placement stay as they were.")
	// CoordinatorRegained is logged when the coordinator answers again.
	CoordinatorRegained = define(9204, logrus.InfoLevel, "coordinatorRegained", "The coordinator answers again.")
	// SharesMoved is logged when the shares of client accounts' limits change.
	SharesMoved = define(9210, logrus.InfoLevel, "sharesMoved", "The limits of client accounts were divided anew between entries.")
	// SharesUnkept is logged when the record of shares could not be written.
	SharesUnkept = define(9211, logrus.WarnLevel, "sharesUnkept", "The record of shares could not be written; no share is raised until it is written.")
	// SharesUnread is logged when the record of shares cannot be decoded.
	SharesUnread = define(9212, logrus.ErrorLevel, "sharesUnread", "The record of shares cannot be decoded and is treated as empty; it is rewritten when shares next change.")
	// SuspectsUnkept is logged when the record of suspect requests could not be
	// written.
	SuspectsUnkept = define(9213, logrus.WarnLevel, "suspectsUnkept", "The record of requests that crash backend servers could not be written; each entry keeps what it knows until it ends.")
	// SuspectsUnread is logged when the record of suspect requests cannot be
	// decoded.
	SuspectsUnread = define(9214, logrus.ErrorLevel, "suspectsUnread", "The record of requests that crash backend servers cannot be decoded and is treated as empty; it is rewritten with the next suspect.")
	// CopyPlanned is logged when a copy of a model is to be added.
	CopyPlanned = define(9219, logrus.InfoLevel, "copyPlanned", "A copy of a model is to be added on a model engine; the demand that calls for it is given.")
	// OrderSent is logged with the outcome of each order to a model engine.
	OrderSent = define(9220, logrus.InfoLevel, "orderSent", "An order to load or unload was sent to a model engine.")
	// OrderUnclear is logged when an order or a report request got no answer.
	OrderUnclear = define(9221, logrus.WarnLevel, "orderUnclear", "An order or a report request got no answer; an order may still be carried out and is sent again before any other.")
	// OrderOutdated is logged when a model engine refuses an order because of its
	// fencing token.
	OrderOutdated = define(9222, logrus.WarnLevel, "orderOutdated", "A model engine has seen a newer coordinator; this process sends it no further orders.")
)
