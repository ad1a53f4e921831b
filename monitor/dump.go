package monitor

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// MaxDumpBytes is the largest size of a dump that FetchDump accepts.
const MaxDumpBytes = 256 << 20

// maxErrorBodyBytes is the largest part of the body of an error response that a
// DumpError contains.
const maxErrorBodyBytes = 512

// FetchDump requests the state of the process with the given monitor address,
// IP:port, and returns it as JSON. An error is a *DumpError.
func FetchDump(ctx context.Context, address string) (json.RawMessage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", http.NoBody)
	if err != nil {
		return nil, &DumpError{Address: address, Reason: err.Error()}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &DumpError{Address: address, Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return nil, &DumpError{Address: address, Status: resp.StatusCode, Reason: strings.TrimSpace(string(text))}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxDumpBytes+1))
	if err != nil {
		return nil, &DumpError{Address: address, Reason: err.Error()}
	}
	if len(body) > MaxDumpBytes || !json.Valid(body) {
		return nil, &DumpError{Address: address, Status: resp.StatusCode, Reason: "the response is not valid JSON, or larger than 256 MiB"}
	}
	return body, nil
}
