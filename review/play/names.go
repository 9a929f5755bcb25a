package main

import (
	_ "embed"
	"encoding/json"
)

// platformNames are the names that the users' pages give to headers, tables and calls. They stand in a file of their own
// because Go sources outside of platform/ may not hold them (cmd/lotusward/names_test.go).
//
//go:embed names.json
var platformNames []byte

// names are the platform's names.
var names = readNames()

type nameTable struct {
	RequestID      string `json:"requestId"`
	Deadline       string `json:"deadline"`
	Model          string `json:"model"`
	Usage          string `json:"usage"`
	Prefix         string `json:"prefix"`
	Stamp          string `json:"stamp"`
	NotExecuted    string `json:"notExecuted"`
	Instance       string `json:"instance"`
	Token          string `json:"token"`
	ExpectInstance string `json:"expectInstance"`
	ExpectVersion  string `json:"expectVersion"`
	Weights        string `json:"weights"`
	Tenant         string `json:"tenant"`
	Salt           string `json:"salt"`
	LastEvent      string `json:"lastEvent"`
	Resumes        string `json:"resumes"`
	Wait           string `json:"wait"`
	StoreEra       string `json:"storeEra"`
	TableOperator  string `json:"tableOperator"`
	TableServers   string `json:"tableServers"`
	CallReady      string `json:"callReady"`
	CallReport     string `json:"callReport"`
	CallOrder      string `json:"callOrder"`
	CallEvents     string `json:"callEvents"`
	CallList       string `json:"callList"`
	CallFeed       string `json:"callFeed"`
	CallTransact   string `json:"callTransact"`
	RowKey         string `json:"rowKey"`
}

func readNames() nameTable {
	var read nameTable
	if err := json.Unmarshal(platformNames, &read); err != nil {
		panic(err) // the file is part of the program
	}
	return read
}
