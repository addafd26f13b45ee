package poison

import (
	"errors"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

var (
	errFingerprintSize = errors.New("a fingerprint has the wrong size")
	errTooMany         = errors.New("an exchange is over its bounds")
)

// EncodeSnapshot returns the wire form of exchange.
func EncodeSnapshot(snapshot Snapshot) *wire.PoisonExchange {
	message := &wire.PoisonExchange{
		Crashes: make([]*wire.PoisonCrash, 0, len(snapshot.Crashes)),
		Excuses: make([]*wire.PoisonExcuse, 0, len(snapshot.Excuses)),
	}
	for _, crash := range snapshot.Crashes {
		running := make([]byte, 0, len(crash.Running)*FingerprintBytes)
		for _, fingerprint := range crash.Running {
			running = append(running, fingerprint[:]...)
		}
		message.Crashes = append(message.Crashes, &wire.PoisonCrash{
			Server: string(crash.ID.Server), Boot: crash.ID.Boot, AtMicros: crash.At.UnixMicro(), Running: running,
		})
	}
	for _, excuse := range snapshot.Excuses {
		message.Excuses = append(message.Excuses, &wire.PoisonExcuse{
			Server: string(excuse.Crash.Server), Boot: excuse.Crash.Boot,
			Fingerprint: excuse.Fingerprint[:], AtMicros: excuse.At.UnixMicro(),
		})
	}
	return message
}

// DecodeSnapshot is the inverse of [EncodeSnapshot]. It returns a
// *[ExchangeError] for anything that is malformed or over its bounds.
func DecodeSnapshot(message *wire.PoisonExchange) (Snapshot, error) {
	if len(message.GetCrashes()) > maxExchangeCrashes || len(message.GetExcuses()) > maxExchangeExcuses {
		return Snapshot{}, &ExchangeError{Cause: errTooMany}
	}
	var snapshot Snapshot
	for _, each := range message.GetCrashes() {
		crash, err := decodeCrash(each)
		if err != nil {
			return Snapshot{}, &ExchangeError{Cause: err}
		}
		snapshot.Crashes = append(snapshot.Crashes, crash)
	}
	for _, each := range message.GetExcuses() {
		if len(each.GetFingerprint()) != FingerprintBytes {
			return Snapshot{}, &ExchangeError{Cause: errFingerprintSize}
		}
		snapshot.Excuses = append(snapshot.Excuses, Excuse{
			Crash:       CrashID{Server: names.BackendServer(each.GetServer()), Boot: each.GetBoot()},
			Fingerprint: Fingerprint(each.GetFingerprint()), At: time.UnixMicro(each.GetAtMicros()),
		})
	}
	return snapshot, nil
}

func decodeCrash(message *wire.PoisonCrash) (Crash, error) {
	running := message.GetRunning()
	switch {
	case len(running)%FingerprintBytes != 0:
		return Crash{}, errFingerprintSize
	case len(running) > MaxRunning*FingerprintBytes:
		return Crash{}, errTooMany
	}
	crash := Crash{
		ID: CrashID{Server: names.BackendServer(message.GetServer()), Boot: message.GetBoot()},
		At: time.UnixMicro(message.GetAtMicros()),
	}
	for ; len(running) > 0; running = running[FingerprintBytes:] {
		crash.Running = append(crash.Running, Fingerprint(running[:FingerprintBytes]))
	}
	return crash, nil
}
