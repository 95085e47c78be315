package kcwforward

import (
	"errors"
	"mime"
	"net/http"
	"strconv"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

var errNothingResumed = errors.New("it ends before the next event")

// isStream reports whether an answer is a stream of events. One without a type may be.
func isStream(response *http.Response) bool {
	return response.Body != http.NoBody && (response.Header.Get("Content-Type") == "" || hasStreamType(response))
}

func hasStreamType(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// checkResumption returns an error if an answer can't go on with a stream.
func checkResumption(response *http.Response) error {
	if response.StatusCode != http.StatusOK || !hasStreamType(response) || response.Body == http.NoBody {
		return errors.New("an answer with status " + strconv.Itoa(response.StatusCode) + " is no part of a stream")
	}
	return nil
}
