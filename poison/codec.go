package poison

import (
	"errors"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

var (
	errFingerprintSize = errors.New("fingerprint has the wrong size")
	errTooLarge        = errors.New("too many crashes, fingerprints or clearances")
)

// EncodeSnapshot returns the wire form of snapshot.
func EncodeSnapshot(snapshot Snapshot) *wire.PoisonExchange {
	message := &wire.PoisonExchange{
		Crashes: make([]*wire.PoisonCrash, 0, len(snapshot.Crashes)),
		Excuses: make([]*wire.PoisonExcuse, 0, len(snapshot.Clearances)),
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
	for _, clearance := range snapshot.Clearances {
		message.Excuses = append(message.Excuses, &wire.PoisonExcuse{
			Server: string(clearance.Crash.Server), Boot: clearance.Crash.Boot,
			Fingerprint: clearance.Fingerprint[:], AtMicros: clearance.At.UnixMicro(),
		})
	}
	return message
}

// DecodeSnapshot is the inverse of [EncodeSnapshot]. It returns a
// *[SnapshotError] if message is malformed or exceeds the limits.
func DecodeSnapshot(message *wire.PoisonExchange) (Snapshot, error) {
	if len(message.GetCrashes()) > maxSnapshotCrashes || len(message.GetExcuses()) > maxSnapshotClearances {
		return Snapshot{}, &SnapshotError{Cause: errTooLarge}
	}
	var snapshot Snapshot
	for _, each := range message.GetCrashes() {
		crash, err := decodeCrash(each)
		if err != nil {
			return Snapshot{}, &SnapshotError{Cause: err}
		}
		snapshot.Crashes = append(snapshot.Crashes, crash)
	}
	for _, each := range message.GetExcuses() {
		if len(each.GetFingerprint()) != FingerprintBytes {
			return Snapshot{}, &SnapshotError{Cause: errFingerprintSize}
		}
		snapshot.Clearances = append(snapshot.Clearances, Clearance{
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
		return Crash{}, errTooLarge
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
