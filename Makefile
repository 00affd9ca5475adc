# The two commands of README: "make demo" and "make test".
.PHONY: demo test build generate

# Race detector runs need cgo; test processes are few enough for ten cores.
TEST_FLAGS = -race -count=1 -timeout=20m

demo: build
	./bin/wagtailctl demo

build:
	go build -o bin/ ./cmd/...

test:
	@unformatted=$$(gofmt -l cmd pkg internal); if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi
	go mod verify
	go vet ./...
	go tool staticcheck ./...
	go build -o bin/ ./cmd/...
	go test $(TEST_FLAGS) ./...

generate:
	go run ./internal/tools/protogen
