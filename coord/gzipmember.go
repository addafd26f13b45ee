package coord

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/grpc/encoding"
	grpcgzip "google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"
)

var (
	// sharedMembers encodes what many replies have in common, and ownMembers the rest of each
	// reply. The fastest level takes a third of the time of the default one and makes replies
	// a tenth longer.
	sharedMembers = newMemberEncoder(gzip.DefaultCompression)
	ownMembers    = newMemberEncoder(gzip.BestSpeed)
)

// memberEncoder encodes messages as members of gzip files. It is safe for concurrent use.
type memberEncoder struct{ writers sync.Pool }

func newMemberEncoder(level int) *memberEncoder {
	return &memberEncoder{writers: sync.Pool{New: func() any {
		writer, err := gzip.NewWriterLevel(io.Discard, level)
		if err != nil {
			// The level is one of the package's constants.
			panic(err)
		}
		return writer
	}}}
}

func (memberEncoder *memberEncoder) encode(message proto.Message) ([]byte, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	writer := memberEncoder.writers.Get().(*gzip.Writer) //nolint:forcetypeassert // The pool has no other values.
	defer memberEncoder.writers.Put(writer)
	var member bytes.Buffer
	writer.Reset(&member)
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return member.Bytes(), nil
}

// gzipMagic begins each gzip file. No message begins so: these would be the number of a field and
// a type that does not exist.
var gzipMagic = []byte{0x1f, 0x8b}

// memberCompressor is the compressor of package grpc, except that it passes on what is compressed
// already.
type memberCompressor struct{ encoding.Compressor }

func init() {
	encoding.RegisterCompressor(memberCompressor{Compressor: encoding.GetCompressor(grpcgzip.Name)})
}

// Compress implements [encoding.Compressor].
func (memberCompressor memberCompressor) Compress(target io.Writer) (io.WriteCloser, error) {
	return &memberWriter{compressor: memberCompressor.Compressor, target: target}, nil
}

// memberWriter compresses one message unless it is compressed already.
type memberWriter struct {
	compressor encoding.Compressor
	target     io.Writer
	// passes is set if the message is compressed already, and compressing is the writer that
	// compresses it otherwise. Neither is set before the first bytes are written.
	passes      bool
	compressing io.WriteCloser
}

// Write implements [io.Writer].
func (memberWriter *memberWriter) Write(data []byte) (int, error) {
	if !memberWriter.passes && memberWriter.compressing == nil {
		memberWriter.passes = bytes.HasPrefix(data, gzipMagic)
	}
	if memberWriter.passes {
		return memberWriter.target.Write(data)
	}
	if err := memberWriter.begin(); err != nil {
		return 0, err
	}
	return memberWriter.compressing.Write(data)
}

// begin creates the writer that compresses, if there is none.
func (memberWriter *memberWriter) begin() error {
	if memberWriter.compressing != nil {
		return nil
	}
	compressing, err := memberWriter.compressor.Compress(memberWriter.target)
	memberWriter.compressing = compressing
	return err
}

// Close implements [io.Closer].
func (memberWriter *memberWriter) Close() error {
	if memberWriter.passes {
		return nil
	}
	if err := memberWriter.begin(); err != nil {
		return err
	}
	return memberWriter.compressing.Close()
}
