#include "socket_io.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "timer.h"

/* Timeout for poll(), rounded up so that it does not end early. */
static int remaining_ms(int64_t deadline_ns)
{
	int64_t left = deadline_ns - tmr_now();

	if (left <= 0)
		return 0;
	left = (left + NS_PER_MS - 1) / NS_PER_MS;
	return left > INT32_MAX ? INT32_MAX : (int)left;
}

/* Resets the eventfd before the flag is read, so that no wake-up is lost. */
static bool is_cancelled(const struct io_wait *w)
{
	uint64_t count;

	if (read(w->wake_fd, &count, sizeof(count)) < 0)
		count = 0;
	return __atomic_load_n(w->cancelled, __ATOMIC_ACQUIRE);
}

enum err io_wait(int fd, short events, const struct io_wait *w)
{
	/* poll() ignores entries with a negative descriptor. */
	struct pollfd fds[4] = {
		{fd, events, 0},
		{w->caller_fd, POLLRDHUP, 0},
		{w->wake_fd, POLLIN, 0},
		{w->early_response_fd, POLLIN, 0},
	};

	for (;;) {
		int n = poll(fds, 4, remaining_ms(w->deadline_ns));

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return ERR_IO;
		if (!n)
			return ERR_TIMEOUT;
		if (fds[1].revents)
			return ERR_REFUSED;
		if (fds[2].revents && is_cancelled(w))
			return ERR_REFUSED;
		if (fds[3].revents)
			return ERR_CONFLICT;
		if (fds[0].revents)
			return ERR_OK;
	}
}

enum err io_send(int fd, struct str bytes, const struct io_wait *w,
		 uint64_t *sent)
{
	while (bytes.len) {
		ssize_t n = send(fd, bytes.ptr, bytes.len,
				 MSG_NOSIGNAL | MSG_DONTWAIT);
		enum err e;

		if (n > 0) {
			*sent += (uint64_t)n;
			bytes = str_skip(bytes, (size_t)n);
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN)
			return ERR_IO;
		e = io_wait(fd, POLLOUT, w);
		if (e)
			return e;
	}
	return ERR_OK;
}

enum err io_recv(int fd, char *buf, size_t size, const struct io_wait *w,
		 size_t *n)
{
	for (;;) {
		ssize_t got = recv(fd, buf, size, MSG_DONTWAIT);
		enum err e;

		if (got >= 0) {
			*n = (size_t)got;
			return ERR_OK;
		}
		if (errno == EINTR)
			continue;
		if (errno != EAGAIN)
			return ERR_IO;
		e = io_wait(fd, POLLIN, w);
		if (e)
			return e;
	}
}
