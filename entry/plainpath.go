package entry

import (
	"net/url"
	"strings"
)

// pathDecodings limits how many times a path is percent-decoded to find dot
// segments, since services may decode more than once.
const pathDecodings = 4

// checkPath refuses paths that a service may resolve to another path than the
// one that the route was matched against.
func checkPath(path string) error {
	for range pathDecodings {
		if hasDotSegment(path) {
			return badRequest("the path must not hold the segments . and ..")
		}
		decoded, err := url.PathUnescape(path)
		// A service cannot decode the path any further either.
		fullyDecoded := err != nil || decoded == path
		if fullyDecoded {
			return nil
		}
		path = decoded
	}
	return badRequest("the path is encoded too often")
}

func hasDotSegment(path string) bool {
	separated := strings.ReplaceAll(path, `\`, "/")
	for segment := range strings.SplitSeq(separated, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
