package ingress

import "net/http"

// requestError is the reason why a request is not passed to the engine. The response closes the connection: if the
// framing of a request is ambiguous, the following bytes may belong to its body or hide another request (request
// smuggling).
type requestError int

// The errors of requests, in the order of the checks.
const (
	errRepeatedCorrelationID requestError = iota
	errRepeatedTimeLeft
	errRepeatedTenant
	errRepeatedIdempotencyKey
	errTransferEncoding
	errBodyTooLong
	errUnknownClass
	errMethodNotPOST
	errMethodNotGET
	errGETWithBody
	errInvalidCorrelationID
	errUnknownTenant
	errInvalidTimeLeft
	errMissingIdempotencyKey
	errMayHaveRun
	errCorrelationIDInUse
	errCorrelationIDExecuted
	requestErrorCount int = iota
)

// requestErrors holds the status code and body text of the response to each error.
var requestErrors = [requestErrorCount]struct {
	status int
	text   string
}{
	errRepeatedCorrelationID:  {http.StatusBadRequest, headerCorrelationID + " more than once"},
	errRepeatedTimeLeft:       {http.StatusBadRequest, headerTimeLeft + " more than once"},
	errRepeatedTenant:         {http.StatusBadRequest, headerTenant + " more than once"},
	errRepeatedIdempotencyKey: {http.StatusBadRequest, headerIdempotencyKey + " more than once"},
	errTransferEncoding:       {http.StatusLengthRequired, "no transfer coding is taken"},
	errBodyTooLong:            {http.StatusRequestEntityTooLarge, "body too long"},
	errUnknownClass:           {http.StatusNotFound, "no such path group"},
	errMethodNotPOST:          {http.StatusMethodNotAllowed, "this path group takes " + http.MethodPost},
	errMethodNotGET:           {http.StatusMethodNotAllowed, "this path group takes " + http.MethodGet},
	errGETWithBody:            {http.StatusBadRequest, "a GET takes no body"},
	errInvalidCorrelationID:   {http.StatusBadRequest, headerCorrelationID + " is missing or too long"},
	errUnknownTenant:          {http.StatusBadRequest, "no such " + headerTenant},
	errInvalidTimeLeft:        {http.StatusBadRequest, headerTimeLeft + " is no time that a client waits"},
	errMissingIdempotencyKey:  {http.StatusBadRequest, "no " + headerIdempotencyKey},
	errMayHaveRun:             {http.StatusInternalServerError, "it may have run"},
	errCorrelationIDInUse:     {http.StatusConflict, headerCorrelationID + " is that of an open request"},
	errCorrelationIDExecuted:  {http.StatusConflict, headerCorrelationID + " is that of a request that may have run"},
}

// Error returns the text of the response.
func (e requestError) Error() string { return requestErrors[e].text }

// status returns the status code of the response.
func (e requestError) status() int { return requestErrors[e].status }
