/* Interposes system calls of a process under test (LD_PRELOAD) and makes them fail as Linux documents.
 *
 * The test writes one record a call into the file named by LAPISPASS_FAULTS; the file is mapped, so that
 * faults can be switched while the process runs. A record holds how many calls still fail (-1: all), of how
 * many thousandths of the calls, and the errno they fail with. The errno SHORT makes a transfer move a single
 * byte. The record of the wall clock holds the seconds by which it is stepped. The record READ counts the
 * bytes that the process has read from the connections that it accepted; behind the records stands the same
 * for each port of a client.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define SHORT 10000

enum call { ACCEPT, SOCKET, CONNECT, SEND, RECEIVE, WAIT, WRITE, SYNC, BIND, OPEN, CLOCK, PIPE, READ, CALLS };

#define DESCRIPTORS 4096
#define PORTS 65536

struct fault {
    int32_t left;
    int32_t thousandths;
    int32_t error;
    int32_t injected;
};

static struct fault *faults;
static uint32_t random_state = 1;
static uint32_t *read_from; /* bytes, by the client's port */
static int accepted[DESCRIPTORS]; /* the client's port, for descriptors of accepted connections */

__attribute__((constructor)) static void map_faults(void) {
    const char *path = getenv("LAPISPASS_FAULTS");
    int descriptor = path ? (int)open(path, O_RDWR) : -1;
    if (descriptor < 0) return;
    size_t size = sizeof(struct fault) * CALLS + sizeof(uint32_t) * PORTS;
    void *mapped = mmap(NULL, size, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapped == MAP_FAILED) return;
    faults = mapped;
    read_from = (uint32_t *)(faults + CALLS);
}

/* The errno that this call fails with, SHORT, or 0. */
static int fails(enum call call) {
    if (!faults || !faults[call].left) return 0;
    struct fault *fault = &faults[call];
    random_state = random_state * 1664525u + 1013904223u;
    if ((int32_t)((random_state >> 8) % 1000) >= fault->thousandths) return 0;
    if (fault->left > 0) fault->left--;
    fault->injected++;
    return fault->error;
}

static int is_tcp(int descriptor) {
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    if (getsockname(descriptor, (struct sockaddr *)&address, &size)) return 0;
    return address.ss_family == AF_INET || address.ss_family == AF_INET6;
}

/* The port of the peer of a connection, 0 where it is unknown. */
static int peer_port(int descriptor) {
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    if (getpeername(descriptor, (struct sockaddr *)&address, &size)) return 0;
    if (address.ss_family == AF_INET) return ntohs(((struct sockaddr_in *)&address)->sin_port);
    if (address.ss_family == AF_INET6) return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
    return 0;
}

static int is_file(int descriptor) {
    struct stat status;
    return !fstat(descriptor, &status) && S_ISREG(status.st_mode);
}

/* The C library's own function, as `next`. */
#define NEXT(function) \
    static __typeof__(&function) next; \
    if (!next) next = (__typeof__(&function))dlsym(RTLD_NEXT, #function)

#define FAIL(call, condition) \
    do { \
        int error = (condition) ? fails(call) : 0; \
        if (error) { \
            errno = error; \
            return -1; \
        } \
    } while (0)

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags) {
    NEXT(accept4);
    FAIL(ACCEPT, 1);
    int descriptor = next(listener, address, size, flags);
    if (descriptor >= 0 && descriptor < DESCRIPTORS) accepted[descriptor] = peer_port(descriptor);
    return descriptor;
}

int socket(int family, int type, int protocol) {
    NEXT(socket);
    FAIL(SOCKET, family == AF_INET || family == AF_INET6);
    int descriptor = next(family, type, protocol);
    if (descriptor >= 0 && descriptor < DESCRIPTORS) accepted[descriptor] = 0;
    return descriptor;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    NEXT(connect);
    FAIL(CONNECT, 1);
    return next(descriptor, address, size);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t size) {
    NEXT(bind);
    FAIL(BIND, 1);
    return next(descriptor, address, size);
}

ssize_t send(int descriptor, const void *bytes, size_t size, int flags) {
    NEXT(send);
    int error = size > 1 && is_tcp(descriptor) ? fails(SEND) : 0;
    if (error && error != SHORT) {
        errno = error;
        return -1;
    }
    return next(descriptor, bytes, error ? 1 : size, flags);
}

ssize_t recv(int descriptor, void *bytes, size_t size, int flags) {
    NEXT(recv);
    int error = is_tcp(descriptor) ? fails(RECEIVE) : 0;
    if (error && error != SHORT) {
        errno = error;
        return -1;
    }
    ssize_t got = next(descriptor, bytes, error && size ? 1 : size, flags);
    if (got > 0 && faults && descriptor < DESCRIPTORS && accepted[descriptor]) {
        faults[READ].injected += got;
        read_from[accepted[descriptor]] += got;
    }
    return got;
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    NEXT(epoll_wait);
    FAIL(WAIT, 1);
    return next(descriptor, events, most, timeout);
}

ssize_t write(int descriptor, const void *bytes, size_t size) {
    NEXT(write);
    int error = size > 1 ? fails(is_file(descriptor) ? WRITE : PIPE) : 0;
    if (error && error != SHORT) {
        errno = error;
        return -1;
    }
    return next(descriptor, bytes, error ? 1 : size);
}

ssize_t pwrite64(int descriptor, const void *bytes, size_t size, off64_t place) {
    NEXT(pwrite64);
    FAIL(WRITE, is_file(descriptor));
    return next(descriptor, bytes, size, place);
}

ssize_t pwrite(int descriptor, const void *bytes, size_t size, off_t place) {
    return pwrite64(descriptor, bytes, size, place);
}

int fsync(int descriptor) {
    NEXT(fsync);
    FAIL(SYNC, 1);
    return next(descriptor);
}

int fdatasync(int descriptor) {
    NEXT(fdatasync);
    FAIL(SYNC, 1);
    return next(descriptor);
}

int open64(const char *path, int flags, ...) {
    NEXT(open64);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = (flags & (O_CREAT | O_TMPFILE)) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    const char *watched = getenv("LAPISPASS_FAULTS_OPEN");
    FAIL(OPEN, watched && !strcmp(path, watched));
    return next(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    NEXT(clock_gettime);
    int status = next(clock, now);
    if (!status && clock == CLOCK_REALTIME && faults) now->tv_sec += faults[CLOCK].error;
    return status;
}
