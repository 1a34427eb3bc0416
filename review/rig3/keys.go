package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { plays["keys"] = playKeys }

const (
	// revokeWithin is the bound of the site files (revokeMs), and keyWait the time after the
	// acknowledgement from which on requests are judged.
	revokeWithin = 5 * time.Second
	keyWait      = revokeWithin + time.Second
)

// bookConfig is a configuration of one plain service with the tenants.
func bookConfig(version int, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-book","host":"mill.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":150,"priority":2,"service":"booking","attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"booking","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[%s]}`, version, tenants)
}

// book sends a booking with a key.
func (c *cluster) book(e *entry, id, key string) (status int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/book/1", strings.NewReader("booking "+id))
	if err != nil {
		return 0
	}
	request.Host = "mill.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Token "+key)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 2 * time.Second}).Do(request)
	if err != nil {
		c.record.add("booking %s with key %s at %s: %v", id, key, e.name, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.record.add("booking %s with key %s at %s: status %d, seal %q", id, key, e.name, response.StatusCode, response.Header.Get("X-Replica-Seal"))
	return response.StatusCode
}

// playKeys takes a tenant out of the configuration, which had no other.
func playKeys(c *cluster, trouble bool) (bool, error) {
	if err := c.start(2); err != nil {
		return false, err
	}
	const tenant = `{"name":"mill","apiKeys":["key-mill"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":335543,"burst":335543}`
	if err := c.putConfig(bookConfig(1, tenant)); err != nil {
		return false, err
	}
	r, err := newReplica(c, "b-0", "booking", "zone-a")
	if err != nil {
		return false, err
	}
	r.plain = true
	if err := r.start("v1"); err != nil {
		return false, err
	}
	c.cleanup = append(c.cleanup, r.crash)
	if err := c.awaitReady(c.entries...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for i, e := range c.entries {
		if status := c.book(e, fmt.Sprintf("before-%d", i), "key-mill"); status != http.StatusOK {
			return false, fmt.Errorf("a booking with a valid key got status %d", status)
		}
		if status := c.book(e, fmt.Sprintf("unknown-%d", i), "key-nobody"); status != http.StatusUnauthorized {
			return false, fmt.Errorf("a booking with an unknown key got status %d", status)
		}
	}
	next := tenant
	if trouble {
		next = ""
	}
	if err := c.putConfig(bookConfig(2, next)); err != nil {
		return false, err
	}
	time.Sleep(keyWait)
	judged := map[string]string{}
	for i, e := range c.entries {
		for n := range 5 {
			revoked, unknown := fmt.Sprintf("revoked-%d-%d", i, n), fmt.Sprintf("never-%d-%d", i, n)
			c.book(e, revoked, "key-mill")
			c.book(e, unknown, "key-nobody")
			judged[unknown] = "a key that no configuration ever held"
			if trouble {
				judged[revoked] = "a key that was taken away"
			}
		}
	}
	ran := map[string]int{}
	for _, id := range r.ran() {
		if why, ok := judged[id]; ok {
			ran[why]++
			c.record.add("broken: the replica ran %s, with %s", id, why)
		}
	}
	c.record.tell("%d bookings judged, later than %v after the acknowledgement; ran: %v", len(judged), keyWait, ran)
	return len(ran) > 0, nil
}
