.PHONY: build demo test generate

build:
	mkdir -p bin
	go build -o bin/ . ./standin

demo: build
	./scripts/demo.sh lorient

demo-dakar: build
	./scripts/demo.sh dakar

generate:
	go generate ./...

test: build
	./scripts/test.sh
