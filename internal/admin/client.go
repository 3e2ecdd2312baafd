package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// RequestError is returned by Call if the instance rejected the request with a reason.
type RequestError struct {
	Address string // address of the instance
	Reason  string
}

func (e *RequestError) Error() string { return e.Address + ": " + e.Reason }

// StatusError is returned by Call if the instance responded with an error status and without a reason.
type StatusError struct {
	Address string // address of the instance
	Path    string
	Code    int
	Status  string // code and text, such as "404 Not Found"
}

func (e *StatusError) Error() string {
	return "admin request to " + e.Address + e.Path + ": " + e.Status
}

// Call sends a request to the admin interface of an instance and returns the JSON of the response. The address is
// ip:port. The request is a POST if body is not nil, and a GET otherwise. If the response is not a success, the error is
// a RequestError or StatusError. Of a response of more than 4 MiB only the first 4 MiB are returned.
func Call(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("admin request to %s: %w", address, err)
	}
	req.Header.Set("Content-Type", jsonType)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("admin request to %s: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }() // the body was read before; an error of Close has no effect
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("admin request to %s: %w", address, err)
	}
	if res.StatusCode == http.StatusOK {
		return raw, nil
	}
	var failure errorResponse
	if json.Unmarshal(raw, &failure) == nil && failure.Error != "" {
		return nil, &RequestError{Address: address, Reason: failure.Error}
	}
	return nil, &StatusError{Address: address, Path: path, Code: res.StatusCode, Status: res.Status}
}
