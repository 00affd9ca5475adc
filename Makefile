# The two commands of README: "make demo" and "make test".
.PHONY: demo test fuzz regression build generate

# Race detector runs need cgo; test processes are few enough for ten cores.
TEST_FLAGS = -race -count=1 -timeout=20m
# Tests of resident memory or waiting times run one at a time, after all others: beside
# the tests of all packages, an ordinary request got no answer within 40 s.
APART = --apart "./platform TestBurstOfLargeBodiesIsAnswered" --apart "./platform TestUntrustedCallersLeaveRoom" \
	--apart "./platform TestBodiesOfClosedCallersAreNotParsed" --apart "./platform TestWholeBodiesOfWaitingCallersAreServed" \
	--apart "./platform TestHeadsOfManyLinesStayWithinMemory" --apart "./platform TestDrainOfAStarvedVMAnswersWhatItReceived" \
	--apart "./platform TestDrainThatBeginsLateAnswersInTime" --apart "./platform TestDrainAfterAPauseCutsNoAnswerEarly"

demo: build
	./bin/wagtailctl demo

build:
	go build -o bin/ ./cmd/...

test:
	@unformatted=$$(gofmt -l cmd pkg internal platform); if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi
	go mod verify
	go vet ./...
	go tool staticcheck ./...
	go build -o bin/ ./cmd/...
	go run ./internal/tools/knownred $(APART) -- $(TEST_FLAGS) ./...

# Random input for the decoders and the handlers of peers' messages. "make test"
# runs their seeds only, so that its verdict is the same every time.
FUZZ_TIME = 10s
fuzz:
	go test ./pkg/transport/peers -run NONE -fuzz FuzzMessages -fuzztime $(FUZZ_TIME) -parallel 2
	go test ./pkg/node -run NONE -fuzz FuzzPeerHandlers -fuzztime $(FUZZ_TIME) -parallel 2
	go test ./pkg/node -run NONE -fuzz FuzzEventBuffer -fuzztime $(FUZZ_TIME) -parallel 2
	go test ./platform -run NONE -fuzz FuzzRecords -fuzztime $(FUZZ_TIME) -parallel 2
	go test ./platform -run NONE -fuzz FuzzHeaders -fuzztime $(FUZZ_TIME) -parallel 2
	go test ./platform -run NONE -fuzz FuzzSettings -fuzztime $(FUZZ_TIME) -parallel 2

# Plays the operators' deployments with their bench and compares the scores with
# docs/scores.json: make regression BENCH=PATH SITES=DIRECTORY [QUICK=--quick]
regression:
	go run ./internal/tools/regression --bench $(BENCH) --sites $(SITES) $(QUICK)

generate:
	go run ./internal/tools/protogen
