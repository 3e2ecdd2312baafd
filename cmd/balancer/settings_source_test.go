package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// at names the object in a tree of JSON that holds the last part of path, and that part.
func lookup(tree any, path string) (holder any, last string) {
	parts := strings.Split(path, ".")
	for _, part := range parts[:len(parts)-1] {
		switch node := tree.(type) {
		case map[string]any:
			tree = node[part]
		case []any:
			var i int
			fmt.Sscan(part, &i)
			tree = node[i]
		}
	}
	return tree, parts[len(parts)-1]
}

// keysOf are the paths of all figures, texts and switches in a tree of JSON.
func keysOf(tree any, under string) (keys []string) {
	switch node := tree.(type) {
	case map[string]any:
		for key, sub := range node {
			keys = append(keys, keysOf(sub, strings.TrimPrefix(under+"."+key, "."))...)
		}
	case []any:
		if len(node) > 0 {
			if _, nested := node[0].(map[string]any); nested {
				for i, sub := range node {
					keys = append(keys, keysOf(sub, fmt.Sprint(under, ".", i))...)
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

// A configuration with a figure that is missing, negative, zero, huge or no figure at all ends with one line that names
// the key and exit code 1, or the marshal works: it answers hits and leaves in good order. Each is tried on a process.
func TestEverySetting(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	w := newPlatform(t)
	t.Cleanup(w.close)
	_, path := w.file(t)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	more := strings.NewReplacer(`"rules":{`, `"rules":{"drain-grace-ms":250,"ask-within-ms":4000,`,
		`"n-instances":1,`, `"n-instances":1,"granularity-ms":5,"charges":{"cross-zone":0.02,"probe":0},"tenants":[{"name":""}],`,
		`"domain":{`, `"domain":{"reported-share":0.3,"to-pause":1,"tally-every-ms":0,`).Replace(string(text))
	var tree any
	if err := json.Unmarshal([]byte(more), &tree); err != nil {
		t.Fatal(err)
	}
	keys := keysOf(tree, "")
	if len(keys) < 35 {
		t.Fatalf("only %d keys", len(keys))
	}
	for _, key := range keys {
		for _, value := range []string{"", "-1", "0", "1e300", `"x"`, "null", "{}"} {
			t.Run(key+"="+value, func(t *testing.T) {
				t.Parallel()
				var changed any
				json.Unmarshal([]byte(more), &changed)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				changed.(map[string]any)["listen"] = l.Addr().String()
				l.Close()
				holder, last := lookup(changed, key)
				m, ok := holder.(map[string]any)
				if !ok {
					t.Fatalf("%s is no key", key)
				}
				if value == "" {
					delete(m, last)
				} else {
					m[last] = json.RawMessage(value)
				}
				raw, err := json.Marshal(changed)
				if err != nil {
					t.Fatal(err)
				}
				file := writeFile(t, filepath.Join(t.TempDir(), "config.json"), string(raw))
				address, _ := changed.(map[string]any)["listen"].(string)
				starts(t, program, file, key, address)
			})
		}
	}
}

// starts tells whether serve takes the file and works, or says in a line what is wrong with the key.
func starts(t *testing.T, program, file, key, address string) {
	var out syncBuffer
	cmd := exec.Command(program, "serve", "--config", file)
	cmd.Env, cmd.Stderr = append(os.Environ(), asProgram+"=1"), &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	late := time.After(30 * time.Second)
	for up := false; !up; {
		select {
		case <-ended:
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			last := lines[len(lines)-1]
			if cmd.ProcessState.ExitCode() != 1 || !namesKey(last, key) || strings.Contains(out.String(), "goroutine ") {
				t.Errorf("exit code %d, said %q", cmd.ProcessState.ExitCode(), out.String())
			}
			return
		case <-late:
			t.Fatalf("neither ready nor ended\n%s", out.String())
		case <-time.After(5 * time.Millisecond):
			if address == "" { // the listen address is what was changed
				continue
			}
			if res, err := http.Get("http://" + address + "/up"); err == nil {
				up = res.StatusCode == http.StatusOK
				res.Body.Close()
			}
		}
	}
	for i := range 3 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: c%d\r\nX-Time-Left: 0.3\r\n\r\n", i)
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Errorf("a hit got no answer: %v\n%s", err, out.String())
		}
		c.Close()
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil || strings.Contains(out.String(), "panic") {
			t.Errorf("ended with %v\n%s", err, out.String())
		}
	case <-late:
		t.Errorf("doesn't end\n%s", out.String())
	}
}

// names tells whether a line names the key; a list of objects is known by its length.
func namesKey(line, key string) bool {
	return strings.Contains(line, strings.TrimPrefix(key, "settings."))
}
