# Runs the drivers of a case, given as arguments, from the root of the project;
# sourced by run.sh. The case is broken if one of them says so.
cd "$(dirname "$0")/../.." || exit 2
rm -f "review/${1#case-}/record.txt"
result=0
for driver in "$@"; do
	if ! [ -x target/currantpaddle ] || ! [ -x "build/review/$driver" ]; then
		echo "run review/build.sh and the build of the deploy file" >&2
		exit 2
	fi
	"build/review/$driver"
	status=$?
	# 1 (broken) goes before 2 (could not run) and 0 (held).
	if [ $status = 1 ]; then
		result=1
	elif [ $status != 0 ] && [ $result = 0 ]; then
		result=2
	fi
done
exit $result
