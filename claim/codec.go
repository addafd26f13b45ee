package claim

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// FormatError reports a stored value that can't be decoded, or that is missing
// although the head refers to it.
type FormatError struct {
	Key   string
	Cause error
}

// Error implements error.
func (formatError *FormatError) Error() string {
	return "claims at " + formatError.Key + " can't be read: " + formatError.Cause.Error()
}

// Unwrap returns the cause.
func (formatError *FormatError) Unwrap() error { return formatError.Cause }

// errHashLength is the cause if a stored hash has the wrong length.
var errHashLength = errors.New("hash has the wrong length")

// head is the value of a shard's head: the records since the last segment was
// sealed, and the sealed segments of the shard, numbered from first up to but
// not including sealed.
type head struct {
	first   int64
	sealed  int64
	records []Record
}

func encodeHead(head head) ([]byte, error) {
	return proto.Marshal(&wire.ClaimHead{
		First:   head.first,
		Sealed:  head.sealed,
		Records: recordsToWire(head.records),
	})
}

func decodeHead(key string, value []byte) (head, error) {
	var message wire.ClaimHead
	if err := proto.Unmarshal(value, &message); err != nil {
		return head{}, &FormatError{Key: key, Cause: err}
	}
	records, err := recordsFromWire(key, message.GetRecords())
	return head{first: message.GetFirst(), sealed: message.GetSealed(), records: records}, err
}

func encodeSegment(records []Record) ([]byte, error) {
	return proto.Marshal(&wire.ClaimSegment{Records: recordsToWire(records)})
}

func decodeSegment(key string, value []byte) ([]Record, error) {
	var message wire.ClaimSegment
	if err := proto.Unmarshal(value, &message); err != nil {
		return nil, &FormatError{Key: key, Cause: err}
	}
	return recordsFromWire(key, message.GetRecords())
}

func recordsToWire(records []Record) []*wire.ClaimRecord {
	messages := make([]*wire.ClaimRecord, 0, len(records))
	for _, record := range records {
		messages = append(messages, recordToWire(record))
	}
	return messages
}

func recordToWire(record Record) *wire.ClaimRecord {
	return &wire.ClaimRecord{
		Id:          record.ID[:],
		Fingerprint: record.Fingerprint[:],
		Attempt:     string(record.Attempt),
		State:       int32(record.State),
		UnixMillis:  record.Time.UnixMilli(),
		Answer:      answerToWire(record.Answer),
	}
}

func recordsFromWire(key string, messages []*wire.ClaimRecord) ([]Record, error) {
	records := make([]Record, 0, len(messages))
	for _, message := range messages {
		if len(message.GetId()) != hashBytes || len(message.GetFingerprint()) != hashBytes {
			return nil, &FormatError{Key: key, Cause: errHashLength}
		}
		records = append(records, Record{
			ID:          ID(message.GetId()),
			Fingerprint: Fingerprint(message.GetFingerprint()),
			Attempt:     names.Request(message.GetAttempt()),
			State:       State(message.GetState()),
			Time:        time.UnixMilli(message.GetUnixMillis()),
			Answer:      answerFromWire(message.GetAnswer()),
		})
	}
	return records, nil
}

func answerToWire(answer *Answer) *wire.ClaimAnswer {
	if answer == nil {
		return nil
	}
	return &wire.ClaimAnswer{Status: int32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
}

func answerFromWire(message *wire.ClaimAnswer) *Answer {
	if message == nil {
		return nil
	}
	return &Answer{Status: int(message.GetStatus()), ContentType: message.GetContentType(), Body: message.GetBody()}
}
