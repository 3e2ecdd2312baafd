package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// resolvePath returns the JSON object that has the last key of a path, and that key.
func resolvePath(t *testing.T, tree any, path string) (parent map[string]any, lastKey string) {
	t.Helper()
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		switch node := tree.(type) {
		case map[string]any:
			tree = node[key]
		case []any:
			i, err := strconv.Atoi(key)
			if err != nil {
				t.Fatal(err)
			}
			tree = node[i]
		}
	}
	parent, ok := tree.(map[string]any)
	if !ok {
		t.Fatalf("%s is not the path of a key", path)
	}
	return parent, keys[len(keys)-1]
}

// leafPaths lists the paths of all scalars and lists of scalars in a JSON value, with prefix before each path.
func leafPaths(tree any, prefix string) (paths []string) {
	switch node := tree.(type) {
	case map[string]any:
		for key, value := range node {
			paths = append(paths, leafPaths(value, strings.TrimPrefix(prefix+"."+key, "."))...)
		}
	case []any:
		if len(node) > 0 {
			if _, nested := node[0].(map[string]any); nested {
				for i, item := range node {
					paths = append(paths, leafPaths(item, fmt.Sprint(prefix, ".", i))...)
				}
				return paths
			}
		}
		return []string{prefix}
	default:
		return []string{prefix}
	}
	return paths
}

// writeChangedFile writes a configuration with a listen address of its own and another value for a key, or without the key if
// value is empty. It returns an empty address if the key is listen.
func writeChangedFile(t *testing.T, text, key, value string) (path, address string) {
	t.Helper()
	var tree map[string]any
	if err := json.Unmarshal([]byte(text), &tree); err != nil {
		t.Fatal(err)
	}
	tree["listen"] = closedAddress(t)
	parent, lastKey := resolvePath(t, tree, key)
	if value == "" {
		delete(parent, lastKey)
	} else {
		parent[lastKey] = json.RawMessage(value)
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	address, _ = tree["listen"].(string)
	return writeFile(t, filepath.Join(t.TempDir(), "config.json"), string(raw)), address
}

// Each value of a configuration is removed, or replaced by one that is negative, zero, huge or of another type. Either the
// process ends with exit code 1 and a line that names the key, or the instance responds to requests and drains without an
// error.
func TestEverySettingIsUsableOrRejected(t *testing.T) {
	_, path := newPlatformStub(t).configFile(t)
	text := strings.NewReplacer(`"rules":{`, `"rules":{"drain-grace-ms":250,"ask-within-ms":4000,`,
		`"n-instances":1,`, `"n-instances":1,"granularity-ms":5,"charges":{"cross-zone":0.02,"probe":0},"tenants":[{"name":""}],`,
		`"domain":{`, `"domain":{"reported-share":0.3,"to-pause":1,"tally-every-ms":0,`).Replace(readFile(t, path))
	var tree any
	if err := json.Unmarshal([]byte(text), &tree); err != nil {
		t.Fatal(err)
	}
	keys := leafPaths(tree, "")
	if len(keys) < 35 {
		t.Fatalf("test configuration: got %d keys, want at least 35", len(keys))
	}
	for _, key := range keys {
		for _, value := range []string{"", "-1", "0", "1e300", `"x"`, "null", "{}"} {
			t.Run(key+"="+value, func(t *testing.T) {
				t.Parallel()
				file, address := writeChangedFile(t, text, key, value)
				checkServesOrRejects(t, file, key, address)
			})
		}
	}
}

// checkServesOrRejects fails the test unless the process serves requests and drains, or ends with an error for the key.
func checkServesOrRejects(t *testing.T, file, key, address string) {
	t.Helper()
	process := startProcess(t, file)
	timeout := time.After(30 * time.Second)
	if !becomesReady(t, process, address, timeout) {
		checkRejected(t, process, key)
		return
	}
	for i := range 3 {
		if err := requestOnce(address, i); err != nil {
			t.Errorf("request got no response: %v\n%s", err, process.log.String())
		}
	}
	process.signal(t, syscall.SIGTERM)
	select {
	case <-process.done:
		if process.err != nil || strings.Contains(process.log.String(), "panic") {
			t.Errorf("process ended with %v, want exit code 0 and no panic\n%s", process.err, process.log.String())
		}
	case <-timeout:
		t.Errorf("process does not end after SIGTERM\n%s", process.log.String())
	}
}

// becomesReady waits until the process is ready and returns true, or until it has ended and returns false.
func becomesReady(t *testing.T, p *balancerProcess, address string, timeout <-chan time.Time) bool {
	t.Helper()
	for {
		select {
		case <-p.done:
			return false
		case <-timeout:
			t.Fatalf("process is neither ready nor has it ended\n%s", p.log.String())
		case <-time.After(5 * time.Millisecond):
			if address == "" { // the key is listen, so the address is unknown
				continue
			}
			res, err := http.Get("http://" + address + "/up")
			if err != nil {
				continue
			}
			_ = res.Body.Close() // only the status matters
			if res.StatusCode == http.StatusOK {
				return true
			}
		}
	}
}

// checkRejected fails the test unless the process ended with exit code 1 and without a stack trace, and its last line names
// the key.
func checkRejected(t *testing.T, p *balancerProcess, key string) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(p.log.String()), "\n")
	lastLine := lines[len(lines)-1]
	if p.command.ProcessState.ExitCode() != 1 || !mentionsKey(lastLine, key) || strings.Contains(p.log.String(), "goroutine ") {
		t.Errorf("process: got exit code %d, output %q, want exit code 1, no stack trace and a last line that names key %s",
			p.command.ProcessState.ExitCode(), p.log.String(), key)
	}
}

// requestOnce sends a request over a new connection and waits for the header of the response, whatever its status.
func requestOnce(address string, id int) error {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }() // the result is known by then
	if err := connection.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(connection,
		"GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: c%d\r\nX-Time-Left: 0.3\r\n\r\n", id); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// mentionsKey reports whether a line names the key. For a key below settings, the line may leave out "settings.".
func mentionsKey(line, key string) bool {
	return strings.Contains(line, strings.TrimPrefix(key, "settings."))
}
