#!/bin/sh
# Builds the stand-ins of the review's scripts: the project's store stub and the
# drivers of the cases, into build/review.
set -e
cd "$(dirname "$0")/.."
make -j8 build/rowsd
mkdir -p build/review
for source in review/[1-5]/*.c; do
	folder=$(dirname "$source")
	name=$(basename "$source" .c)-$(basename "$folder")
	cc -std=gnu11 -O1 -g -Wall -Wextra -Ireview/standins \
		-o "build/review/$name" \
		"$source" review/standins/standin.c -lpthread
done
