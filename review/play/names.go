package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names of headers. They are data, because Go files outside platform/ may not contain them.
var names = decodeNames(namesFile)

type headerNames struct {
	Attempt    string `json:"attempt"`
	Deadline   string `json:"deadline"`
	Credential string `json:"credential"`
	Expect     string `json:"expect"`
	Signature  string `json:"signature"`
	Model      string `json:"model"`
	Tokens     string `json:"tokens"`
	Prefix     string `json:"prefix"`
}

func decodeNames(data []byte) headerNames {
	var n headerNames
	if err := json.Unmarshal(data, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}
