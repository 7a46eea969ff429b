# Tasks for people; .ci/run calls `test`.
.PHONY: build test lint run clean

build:            ## the jar, with its libraries in target/lib
	mvn -B -ntp -q -DskipTests package

test:             ## all tests, no bench needed
	mvn -B -ntp verify

lint:             ## the compiler's own warnings, all of them errors
	mvn -B -ntp -q clean compile -Dmaven.compiler.failOnWarning=true -Dmaven.compiler.showWarnings=true

run: build        ## the Diameter front on loopback, as deploy/diameter.json says
	RELAY_DIAMETER=deploy/diameter.json java -jar target/grebewick.jar serve

clean:
	mvn -B -ntp -q clean
