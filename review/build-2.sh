#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/. Run it in any
# folder, after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
for dir in review/6 review/7 review/8 review/9 review/10; do
	if [ -f "$dir/main.go" ]; then
		go build -o "target/review-$(basename "$dir")" "./$dir" || exit 1
	fi
done
