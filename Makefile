# Tasks for people; .ci/run calls `test`.
.PHONY: build test lint bench-load bench-control bench-latency bench-fleet bench-ready soak trial-vanish run clean

RUN = $(shell sed -n 's/^run = "exec \(.*\)"   \#.*/\1/p' deploy/balancer.toml)
LAB = 'target/grebewick.jar:target/lib/*:target/lab-lib/*'

build:            ## the jar, with its libraries in target/lib, and the archive of loaded classes for quick starts
	mvn -B -ntp -q -DskipTests package
	-java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.jfr.enabled=false -Xlog:cds=off -Xlog:cds+dynamic=off -XX:ArchiveClassesAtExit=target/grebewick.jsa -jar target/grebewick.jar rehearse

test:             ## all tests, layout and Checkstyle; no bench needed
	.ci/test

format:           ## lays the sources out as .formatter/eclipse.xml says
	mvn -B -ntp -q formatter:format

lint:             ## layout, Checkstyle and the compiler's own warnings, all of them errors
	mvn -B -ntp -q clean formatter:validate checkstyle:check compile -Dmaven.compiler.failOnWarning=true -Dmaven.compiler.showWarnings=true

bench-load: build ## 20 s of calls at one gatekeeper as deploy/balancer.toml runs it, all of them cut at once in between
	java -cp $(LAB) grebewick.lab.LoadGenerator --rate=100 --hold=5000 --cut=12 -- $(RUN)

bench-control: build ## bytes, processor time, memory of one gatekeeper without calls, by servers and changes; some 9 min
	java -cp $(LAB) grebewick.lab.ControlCostBench -- $(RUN)

bench-latency: build ## latency that one gatekeeper adds at 118 calls a second; some 4 min, on an idle machine
	java -cp $(LAB) grebewick.lab.LatencyBench --ways=DIRECT,GATEKEEPER,PROBED,PROBED_NETTY -- $(RUN)

bench-fleet: build ## how the list of servers spreads over hollow gatekeepers; it says how long it can take
	java -cp $(LAB) grebewick.lab.fleet.HollowFleet

bench-ready: build ## how soon 30 gatekeepers that start at once serve, five times; some 2 min, on an idle machine
	java -cp $(LAB) grebewick.lab.ReadinessBench -- $(RUN)

soak: build       ## 60 drawn plans of combined faults against real gatekeepers, six at a time; some 6 min
	java -cp $(LAB) grebewick.lab.faults.FaultSoak --seeds=1-60 --parallel=6 -- $(RUN)

trial-vanish: build ## faults of servers with calls standing on them, three seeds each; some 4 min
	java -cp $(LAB) grebewick.lab.faults.VanishingTrials -- $(RUN)

run: build        ## the Diameter front on loopback, as deploy/diameter.json says
	RELAY_DIAMETER=deploy/diameter.json java -jar target/grebewick.jar serve

clean:
	mvn -B -ntp -q clean
