package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// platformNames are names of the platform, which no source outside its folder may hold.
type platformNames struct {
	// Header and Call begin the names of headers and the paths of calls.
	Header, Call string
	// Operator and Servers are tables of the store.
	Operator, Servers string
	// Version, Token and Expected are fields of an order.
	Version, Token, Expected string
}

var names = readNames()

func readNames() platformNames {
	var read platformNames
	if err := json.Unmarshal(namesText, &read); err != nil {
		panic(err)
	}
	return read
}

// header returns the name of a header.
func header(name string) string { return names.Header + name }

// call returns the path of a call.
func call(name string) string { return names.Call + name }
