package records_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// Guards against customers that lose their limits while records of an old
// schema version are still published.
func TestOldAndNewCustomerSchemaDecodeAlike(t *testing.T) {
	old, err := records.Decode("customer/a", []byte(`{"kind":"customer","schema":1,"id":"a","spec":{"tokensPerMinute":600,"burstTokens":50}}`))
	assert.NilError(t, err)
	current, err := records.Decode("customer/a", []byte(`{"kind":"customer","schema":2,"id":"a","spec":{"tokensPerSecond":10,"burstTokens":50}}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, old.Customer, current.Customer)
}

// Guards against invalid records that are accepted in whole or in part.
func TestDecodeRejectsInvalidRecords(t *testing.T) {
	tests := []struct {
		name, key, value, want string
	}{
		{"unknown field", "dataCentre/a", `{"kind":"dataCentre","schema":1,"id":"a","spec":{"region":"r","seats":2,"seat":1}}`, "spec: json: unknown field"},
		{"unknown schema", "customer/a", `{"kind":"customer","schema":9,"id":"a","spec":{}}`, "schema: unknown schema 9, want one of [1 2]"},
		{"out of range", "dataCentre/a", `{"kind":"dataCentre","schema":1,"id":"a","spec":{"region":"r","seats":0}}`, "spec.seats: 0 is out of range, want 1 to 1024"},
		{"other key", "customer/b", `{"kind":"customer","schema":2,"id":"a","spec":{}}`, `belongs under key "customer/a"`},
		{"default version", "adapter/a", `{"kind":"adapter","schema":1,"id":"a","spec":{"baseModel":"m","versions":[{"version":1,"state":"active","source":"s"}],"defaultVersion":2}}`, "spec.defaultVersion: version 2"},
		{"address by name", "endpoint/a", `{"kind":"endpoint","schema":1,"id":"a","spec":{"dataCentre":"d","kind":"service","service":"s","address":"host:80","state":"serving"}}`, "spec.address"},
		{"trailing data", "key/a", `{"kind":"key","schema":1,"id":"a","spec":{}} {}`, "data after the JSON value"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := records.Decode(test.key, []byte(test.value))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against panics on arbitrary values from the platform, and against
// records that are accepted under the key of another record.
func FuzzDecode(f *testing.F) {
	f.Add("key/a", []byte(`{"kind":"key","schema":1,"id":"a","spec":{"customer":"c","sha256":"`+strings.Repeat("0", 64)+`"}}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		record, err := records.Decode(key, value)
		if err == nil && string(record.Kind)+"/"+record.ID != key {
			t.Fatalf("record %s/%s accepted under key %q", record.Kind, record.ID, key)
		}
	})
}
