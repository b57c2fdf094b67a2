# Runs the driver of a case from the root of the project; sourced by run.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantpaddle ] && [ -x "build/review/case-$1" ] || {
	echo "run review/build.sh and the build of the deploy file first" >&2
	exit 2
}
exec "build/review/case-$1"
