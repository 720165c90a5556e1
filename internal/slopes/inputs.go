package slopes

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/table"
)

const tableHeader = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n"

// serviceName is the service that all targets of a measurement serve.
const serviceName = "reports"

// rowsPerPage keeps a page of the table below the platform's limit of one
// megabyte per value.
const rowsPerPage = 5000

// tablePages returns the pages of a table with the given number of accounts. It
// adds edit to the first account's token rate limit, so that tables of different
// edits differ in one row.
func tablePages(accounts, edit int) [][]byte {
	var pages [][]byte
	var page strings.Builder
	page.WriteString(tableHeader + "service," + serviceName + ",,,,,,,generation,stream,100000,60000,20000\n")
	for i := range accounts {
		if i > 0 && i%rowsPerPage == 0 {
			pages = append(pages, []byte(page.String()))
			page.Reset()
		}
		rate := 1000
		if i == 0 {
			rate += edit
		}
		key := sha256.Sum256([]byte(strconv.Itoa(i)))
		fmt.Fprintf(&page, "account,%s,1,100,%d,0,%s,,,,,,\n", accountName(i), rate, hex.EncodeToString(key[:]))
	}
	return append(pages, []byte(page.String()))
}

func accountName(i int) string { return fmt.Sprintf("account-%05d", i) }

func dataCentreName(i int) string { return fmt.Sprintf("dc-%02d", i%FullScaleDataCentres) }

// hostList returns hosts with loopback addresses on which nothing listens:
// connections to them are refused at once, and no traffic leaves the machine.
func hostList(count int) []configservice.Host {
	hosts := make([]configservice.Host, count)
	for i := range hosts {
		ip := fmt.Sprintf("127.1.%d.%d", i/250, i%250+1)
		hosts[i] = configservice.Host{
			Name: fmt.Sprintf("host-%04d", i), DataCentre: dataCentreName(i),
			Entry: ip + ":8081", Control: ip + ":8090", State: configservice.StateLive,
		}
	}
	return hosts
}

// targetList returns targets of the service, spread over the data centres.
func targetList(count int) []configservice.Target {
	targets := make([]configservice.Target, count)
	for i := range targets {
		targets[i] = configservice.Target{
			Service: serviceName, Address: fmt.Sprintf("127.2.%d.%d:8000", i/250, i%250+1),
			DataCentre: dataCentreName(i), State: configservice.StateLive,
		}
	}
	return targets
}

// targetsDocument and hostsDocument are the platform's target and host lists.
type targetsDocument struct {
	Revision uint64                 `json:"revision"`
	Targets  []configservice.Target `json:"targets"`
}

type hostsDocument struct {
	Revision uint64               `json:"revision"`
	Hosts    []configservice.Host `json:"hosts"`
}

func toJSON(document any) string {
	text, _ := json.Marshal(document)
	return string(text)
}

// withTargets returns a copy of the table in which the service has these targets.
func withTargets(t *table.Table, targets []configservice.Target) *table.Table {
	list := make([]table.Target, len(targets))
	for i, target := range targets {
		list[i] = table.Target{Address: target.Address, DataCentre: target.DataCentre}
	}
	return t.WithDrainAndTargets(nil, map[string][]table.Target{serviceName: list})
}
