#!/bin/sh
exec java -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=4 ${BORAGEPROXY_JAVA_OPTIONS:--Xmx256m} -jar "$0" "$@"
