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

// lookup returns the object in a tree of JSON that has the last part of a path, and that part.
func resolvePath(t *testing.T, tree any, path string) (holder map[string]any, last string) {
	t.Helper()
	parts := strings.Split(path, ".")
	for _, part := range parts[:len(parts)-1] {
		switch node := tree.(type) {
		case map[string]any:
			tree = node[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil {
				t.Fatal(err)
			}
			tree = node[i]
		}
	}
	holder, ok := tree.(map[string]any)
	if !ok {
		t.Fatalf("%s is no key", path)
	}
	return holder, parts[len(parts)-1]
}

// keysOf lists the paths of all numbers, texts and switches in a tree of JSON.
func leafPaths(tree any, under string) (keys []string) {
	switch node := tree.(type) {
	case map[string]any:
		for key, sub := range node {
			keys = append(keys, leafPaths(sub, strings.TrimPrefix(under+"."+key, "."))...)
		}
	case []any:
		if len(node) > 0 {
			if _, nested := node[0].(map[string]any); nested {
				for i, sub := range node {
					keys = append(keys, leafPaths(sub, fmt.Sprint(under, ".", i))...)
				}
				return keys
			}
		}
		return []string{under}
	default:
		return []string{under}
	}
	return keys
}

// changedFile writes a configuration with another value of a key, or without the key, and an address of its own. The address is
// empty where the key is the address.
func writeChangedFile(t *testing.T, text, key, value string) (path, address string) {
	t.Helper()
	var tree map[string]any
	if err := json.Unmarshal([]byte(text), &tree); err != nil {
		t.Fatal(err)
	}
	tree["listen"] = closedAddress(t)
	holder, last := resolvePath(t, tree, key)
	if value == "" {
		delete(holder, last)
	} else {
		holder[last] = json.RawMessage(value)
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	address, _ = tree["listen"].(string)
	return writeFile(t, filepath.Join(t.TempDir(), "config.json"), string(raw)), address
}

// A configuration with a value that is missing, negative, zero, huge or of another type ends the process with one line that
// names the key and exit code 1, or the instance works: it responds to requests and stops in good order. Each is tried on a
// process.
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
		t.Fatalf("only %d keys", len(keys))
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

// checkStart fails the test unless the process works, or ends with a line about what is wrong with the key.
func checkServesOrRejects(t *testing.T, file, key, address string) {
	t.Helper()
	process := startProcess(t, file)
	late := time.After(30 * time.Second)
	if !becomesReady(t, process, address, late) {
		checkRejected(t, process, key)
		return
	}
	for i := range 3 {
		if err := requestOnce(address, i); err != nil {
			t.Errorf("a request got no response: %v\n%s", err, process.log.String())
		}
	}
	process.signal(t, syscall.SIGTERM)
	select {
	case <-process.done:
		if process.err != nil || strings.Contains(process.log.String(), "panic") {
			t.Errorf("ended with %v\n%s", process.err, process.log.String())
		}
	case <-late:
		t.Errorf("doesn't end\n%s", process.log.String())
	}
}

// becomesReady waits until the process is ready, or has ended.
func becomesReady(t *testing.T, p *balancerProcess, address string, late <-chan time.Time) bool {
	t.Helper()
	for {
		select {
		case <-p.done:
			return false
		case <-late:
			t.Fatalf("neither ready nor ended\n%s", p.log.String())
		case <-time.After(5 * time.Millisecond):
			if address == "" { // the key is the address that it listens on
				continue
			}
			res, err := http.Get("http://" + address + "/up")
			if err != nil {
				continue
			}
			_ = res.Body.Close() // only its status is asked for
			if res.StatusCode == http.StatusOK {
				return true
			}
		}
	}
}

// checkRejected fails the test unless the process ended with exit code 1, and a last line that names the key.
func checkRejected(t *testing.T, p *balancerProcess, key string) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(p.log.String()), "\n")
	last := lines[len(lines)-1]
	if p.command.ProcessState.ExitCode() != 1 || !mentionsKey(last, key) || strings.Contains(p.log.String(), "goroutine ") {
		t.Errorf("exit code %d, said %q", p.command.ProcessState.ExitCode(), p.log.String())
	}
}

// requestOnce sends a request over a connection of its own and waits for the head of the response, whatever its status.
func requestOnce(address string, id int) error {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }() // the response has arrived, or failed already
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

// namesKey tells whether a line names the key.
func mentionsKey(line, key string) bool {
	return strings.Contains(line, strings.TrimPrefix(key, "settings."))
}
