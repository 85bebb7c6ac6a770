#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/pistachio-jobcontrol ] && [ -x target/bin/pistachio-jobentry ] && [ -x target/review/case-4 ] || exit 2
exec timeout -k 5 115 target/review/case-4 review/4
