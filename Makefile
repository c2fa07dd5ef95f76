# mimosastile: the commands a newcomer needs. `make help` lists them.
VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := core entry ctl standins gateway
SRC := $(foreach p,$(PACKAGES),packages/mimosastile-$(p)/src) platform/src
CODE := packages platform tests
empty :=
space := $(empty) $(empty)
# The tree at hand goes before whatever the environment has installed, so that
# one environment can serve several work trees.
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SRC)))
export PYTHONDONTWRITEBYTECODE := 1
SEEDS ?= 20
BENCH ?= bench
SITES ?= deployments
# Deployments and how many days are hunted on each; see CONTRIBUTING.md.
REGRESSIONS := demands/emcd-manizales-grown:8 demands/nkunga-gw-grown:8 shifted/pisma-urednistvu-now-grown:8 large/pisma-urednistvu-large:8 further-grown/gclta-gateway-grown:8 further/gclta-gateway:40 sites/scl-gateway:40
FILES ?= $(wildcard scenarios/*.toml)

.PHONY: bench-target bench-bare bench-entry bench-load
.PHONY: regressions soak
.PHONY: help env format lint types unit test demo scenarios bench measure capacity fuzz pages
help: ## list the commands
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

env: $(VENV)/.ready ## make the environment from the pinned requirements
$(VENV)/.ready:
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/mimosastile-$(p)) -e platform
	touch $@

format: env ## rewrite the sources in the house format
	$(VENV)/bin/ruff format -q --no-cache $(CODE)
	$(VENV)/bin/ruff check -q --no-cache --fix $(CODE)

lint: env ## formatter check and linter
	$(VENV)/bin/ruff format -q --no-cache --check $(CODE)
	$(VENV)/bin/ruff check -q --no-cache $(CODE)

types: env ## strict typing
	$(VENV)/bin/mypy

unit: env ## tests alone
	$(PY) -m pytest

test: lint types unit ## everything CI runs

demo: env ## the main job in one command
	$(PY) -m mimosastile_standins demo $(ARGS)

scenarios: env ## run scenario files and print the oracle's verdicts
	$(PY) -m mimosastile_standins scenario $(ARGS) $(FILES)

bench: env ## cost of the request path, compared in one run
	rm -rf build/bench
	$(MAKE) -s -j4 bench-target bench-bare bench-entry bench-load

bench-target bench-bare bench-entry bench-load: bench-%: # one process each
	$(PY) -m mimosastile_standins bench --role $* --at build/bench $(ARGS)

measure: env ## imbalance, churn and unavailable time with baselines
	$(PY) -m mimosastile_standins measure $(ARGS)

capacity: env ## make docs/CAPACITY.md from the committed results
	$(PY) -m mimosastile_standins capacity

fuzz: env ## the stateful fuzz over SEEDS seeds
	$(PY) -m mimosastile_standins fuzz --seeds $(SEEDS) $(ARGS)

soak: env ## real daemons under faults from outside
	$(PY) -m mimosastile_standins soak $(ARGS)

regressions: ## print the commands of a landing on the users' bench (BENCH, SITES)
	@for run in $(REGRESSIONS); do \
	  site="$(SITES)/$${run%:*}.toml"; \
	  echo "$(BENCH) hunt $$site --days $${run#*:} --jobs 4"; \
	  echo "$(BENCH) score $$site --jobs 4"; \
	done; \
	echo "$(BENCH) sweep $(SITES)/further/gclta-gateway.toml"

pages: env ## write the pages that are made from the code
	$(PY) -m mimosastile_entry.pages docs
