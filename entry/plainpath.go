package entry

import (
	"net/url"
	"strings"
)

// pathDecodings bounds how often a path is percent-decoded in search of dot
// segments, since services may decode more than once.
const pathDecodings = 4

// checkPath refuses paths that a service may take for another than the one that
// the route was chosen by.
func checkPath(path string) error {
	for range pathDecodings {
		if hasDotSegment(path) {
			return badRequest("the path must not hold the segments . and ..")
		}
		decoded, err := url.PathUnescape(path)
		// What cannot be decoded further is not decoded by a service either.
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
