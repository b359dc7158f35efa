/* Interposes system calls of a process under test (LD_PRELOAD) and makes them fail as the Linux manual
 * pages document.
 *
 * The test writes one record per call into the file named by LAPISPASS_FAULTS. The file is mapped, so that
 * faults can be switched while the process runs. A record holds the number of calls that still fail (-1: all),
 * the share of calls that fail in thousandths, and their errno. The errno SHORT makes a transfer move a single
 * byte. The record of the wall clock holds the seconds by which it is stepped. The record READ counts the
 * bytes that the process has read from the connections that it accepted. The same count for each client port
 * follows the records.
 *
 * Calls that a process imports and that are not interposed, with the reason:
 * - clock_getres, getcwd, getegid, geteuid, getgid, getgroups, getpgid, getpgrp, getpid, getppid,
 *   getresgid, getresuid, getrlimit64, getrusage, getsid, gettid, gettimeofday, getuid, sched_yield,
 *   time, times, umask, uname: they read or set the state of the process and fail only because of an
 *   error of the caller
 * - alarm, getitimer, kill, pause, setitimer, sigaltstack: signals and timers; they fail only because
 *   of an error of the caller
 * - access, faccessat, fstat, lseek, lseek64, lstat, lstat64, open, openat, openat64, readlink,
 *   readlinkat, stat, statx: the import system and SQLite look up paths with them; the program
 *   itself uses open64, stat64 and fstat64
 * - madvise, mlock, mmap, mmap64, mprotect, mremap, munmap, shmat, shmdt, shmget: the memory of the
 *   process itself
 * - copy_file_range, readv, recvfrom, recvmsg, sendfile, sendfile64, sendmsg, sendto, splice, writev:
 *   not used here: asyncio's streams call recv and send, the log and files use write
 * - close_range, dup, dup2, dup3, eventfd, flock, memfd_create, nanosleep, pipe, pipe2, select: not
 *   called here: the event loop uses epoll and a socket pair, time.sleep uses clock_nanosleep
 * - execve, exit, fork, vfork, wait, wait4, waitid: the process starts no other process
 * - chdir, chmod, chown, chroot, fchdir, fchmod, fchmodat, fchown, fchownat, fgetxattr, flistxattr,
 *   fremovexattr, fsetxattr, getxattr, lchown, lgetxattr, link, linkat, listxattr, llistxattr,
 *   lremovexattr, lsetxattr, mkdir, mkdirat, mknod, mknodat, removexattr, rename, renameat, rmdir,
 *   setxattr, symlink, symlinkat, sync, truncate, truncate64, unlinkat, utime, utimensat: they change
 *   directories and attributes, which nothing here does
 * - clock_settime, getpriority, sched_get_priority_max, sched_get_priority_min, sched_getaffinity,
 *   sched_getparam, sched_getscheduler, sched_rr_get_interval, sched_setaffinity, sched_setparam,
 *   sched_setscheduler, setgid, setgroups, sethostname, setpgid, setpriority, setregid, setresgid,
 *   setresuid, setreuid, setrlimit64, setsid, setuid: the interpreter imports them; nothing here
 *   calls them
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define SHORT 10000

enum call {
    ACCEPT, SOCKET, CONNECT, SEND, RECEIVE, WAIT, WRITE, SYNC, BIND, OPEN, CLOCK, PIPE, READ,
    EPOLL_CTL, CLOSE, SETSOCKOPT, GETSOCKOPT, GETPEERNAME, GETSOCKNAME, SHUTDOWN, LISTEN, IOCTL, FCNTL,
    POLL, SOCKETPAIR, EPOLL_CREATE, READ_FILE, READ_STORE, TRUNCATE, STAT, UNLINK, SLEEP, RANDOM,
    CLOSED_TWICE, CALLS
};

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
static uint32_t *read_from; /* bytes read, by client port */
static int watched_file = -1; /* the descriptor of the file at LAPISPASS_FAULTS_OPEN */
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

/* Returns the errno that this call is to fail with, SHORT, or 0 for no failure. */
static int fails(enum call call) {
    if (!faults || !faults[call].left) return 0;
    struct fault *fault = &faults[call];
    random_state = random_state * 1664525u + 1013904223u;
    if ((int32_t)((random_state >> 8) % 1000) >= fault->thousandths) return 0;
    if (fault->left > 0) fault->left--;
    fault->injected++;
    return fault->error;
}

/* Defines `next` as the C library's own function. */
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

/* Calls of the shim itself, which bypass the interposed functions. */
static int own_name(int descriptor, struct sockaddr *address, socklen_t *size) {
    NEXT(getsockname);
    return next(descriptor, address, size);
}

static int peer_name(int descriptor, struct sockaddr *address, socklen_t *size) {
    NEXT(getpeername);
    return next(descriptor, address, size);
}

static int is_tcp(int descriptor) {
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    if (own_name(descriptor, (struct sockaddr *)&address, &size)) return 0;
    return address.ss_family == AF_INET || address.ss_family == AF_INET6;
}

/* The port of a connection's peer, or 0 if it is unknown. */
static int peer_port(int descriptor) {
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    if (peer_name(descriptor, (struct sockaddr *)&address, &size)) return 0;
    if (address.ss_family == AF_INET) return ntohs(((struct sockaddr_in *)&address)->sin_port);
    if (address.ss_family == AF_INET6) return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
    return 0;
}

static int is_file(int descriptor) {
    struct stat status;
    return !fstat(descriptor, &status) && S_ISREG(status.st_mode);
}

static int is_socket(int descriptor) {
    struct stat status;
    return !fstat(descriptor, &status) && S_ISSOCK(status.st_mode);
}

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags) {
    NEXT(accept4);
    FAIL(ACCEPT, 1);
    int descriptor = next(listener, address, size, flags);
    if (descriptor >= 0 && descriptor < DESCRIPTORS) accepted[descriptor] = peer_port(descriptor);
    return descriptor;
}

int accept(int listener, struct sockaddr *address, socklen_t *size) {
    return accept4(listener, address, size, 0);
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
    int is_watched = watched && !strcmp(path, watched);
    FAIL(OPEN, is_watched);
    int descriptor = next(path, flags, mode);
    if (is_watched) watched_file = descriptor;
    return descriptor;
}

ssize_t read(int descriptor, void *bytes, size_t size) {
    NEXT(read);
    FAIL(READ_FILE, descriptor == watched_file);
    return next(descriptor, bytes, size);
}

ssize_t pread64(int descriptor, void *bytes, size_t size, off64_t place) {
    NEXT(pread64);
    FAIL(READ_STORE, is_file(descriptor));
    return next(descriptor, bytes, size, place);
}

int ftruncate64(int descriptor, off64_t size) {
    NEXT(ftruncate64);
    FAIL(TRUNCATE, 1);
    return next(descriptor, size);
}

int ftruncate(int descriptor, off_t size) {
    return ftruncate64(descriptor, size);
}

int fstat64(int descriptor, struct stat64 *status) {
    NEXT(fstat64);
    FAIL(STAT, is_file(descriptor));
    return next(descriptor, status);
}

int stat64(const char *path, struct stat64 *status) {
    NEXT(stat64);
    const char *watched = getenv("LAPISPASS_FAULTS_OPEN");
    FAIL(STAT, watched && !strcmp(path, watched));
    return next(path, status);
}

int unlink(const char *path) {
    NEXT(unlink);
    FAIL(UNLINK, 1);
    return next(path);
}

int epoll_create1(int flags) {
    NEXT(epoll_create1);
    FAIL(EPOLL_CREATE, 1);
    return next(flags);
}

/* ENOSPC, the limit on watches, occurs only when a descriptor is added. */
int epoll_ctl(int descriptor, int operation, int target, struct epoll_event *event) {
    NEXT(epoll_ctl);
    int applies = !faults || faults[EPOLL_CTL].error != ENOSPC || operation == EPOLL_CTL_ADD;
    FAIL(EPOLL_CTL, applies);
    return next(descriptor, operation, target, event);
}

/* A socket is closed although the call fails; close of a file does not fail. */
int close(int descriptor) {
    NEXT(close);
    int error = faults && faults[CLOSE].left && is_socket(descriptor) ? fails(CLOSE) : 0;
    if (descriptor >= 0 && descriptor < DESCRIPTORS) accepted[descriptor] = 0;
    if (descriptor == watched_file) watched_file = -1;
    int status = next(descriptor);
    if (status && errno == EBADF && faults) faults[CLOSED_TWICE].injected++;
    if (!status && error) {
        errno = error;
        return -1;
    }
    return status;
}

int setsockopt(int descriptor, int level, int name, const void *value, socklen_t size) {
    NEXT(setsockopt);
    FAIL(SETSOCKOPT, 1);
    return next(descriptor, level, name, value, size);
}

int getsockopt(int descriptor, int level, int name, void *value, socklen_t *size) {
    NEXT(getsockopt);
    FAIL(GETSOCKOPT, 1);
    return next(descriptor, level, name, value, size);
}

int getpeername(int descriptor, struct sockaddr *address, socklen_t *size) {
    FAIL(GETPEERNAME, 1);
    return peer_name(descriptor, address, size);
}

int getsockname(int descriptor, struct sockaddr *address, socklen_t *size) {
    FAIL(GETSOCKNAME, 1);
    return own_name(descriptor, address, size);
}

int shutdown(int descriptor, int how) {
    NEXT(shutdown);
    FAIL(SHUTDOWN, 1);
    return next(descriptor, how);
}

int listen(int descriptor, int backlog) {
    NEXT(listen);
    FAIL(LISTEN, 1);
    return next(descriptor, backlog);
}

int socketpair(int family, int type, int protocol, int pair[2]) {
    NEXT(socketpair);
    FAIL(SOCKETPAIR, 1);
    return next(family, type, protocol, pair);
}

/* The interpreter makes a socket non-blocking by FIONBIO. */
int ioctl(int descriptor, unsigned long request, ...) {
    NEXT(ioctl);
    va_list rest;
    va_start(rest, request);
    void *argument = va_arg(rest, void *);
    va_end(rest);
    FAIL(IOCTL, request == FIONBIO);
    return next(descriptor, request, argument);
}

/* F_SETLK: the file locks that SQLite takes. */
static int file_control(int descriptor, int command, void *argument) {
    NEXT(fcntl64);
    FAIL(FCNTL, command == F_SETLK);
    return next(descriptor, command, argument);
}

int fcntl64(int descriptor, int command, ...) {
    va_list rest;
    va_start(rest, command);
    void *argument = va_arg(rest, void *);
    va_end(rest);
    return file_control(descriptor, command, argument);
}

int fcntl(int descriptor, int command, ...) {
    va_list rest;
    va_start(rest, command);
    void *argument = va_arg(rest, void *);
    va_end(rest);
    return file_control(descriptor, command, argument);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout) {
    NEXT(poll);
    FAIL(POLL, 1);
    return next(descriptors, count, timeout);
}

/* Returns the error in place of setting errno, as the C library does. */
int clock_nanosleep(clockid_t clock, int flags, const struct timespec *span, struct timespec *left) {
    NEXT(clock_nanosleep);
    int error = fails(SLEEP);
    return error ? error : next(clock, flags, span, left);
}

ssize_t getrandom(void *bytes, size_t size, unsigned flags) {
    NEXT(getrandom);
    FAIL(RANDOM, 1);
    return next(bytes, size, flags);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    NEXT(clock_gettime);
    int status = next(clock, now);
    if (!status && clock == CLOCK_REALTIME && faults) now->tv_sec += faults[CLOCK].error;
    return status;
}

/* The interposed functions, for the test that compares them with the imports of a process. */
const char *const covered_calls[] = {
    "accept", "accept4", "bind", "clock_gettime", "clock_nanosleep", "close", "connect", "epoll_create1",
    "epoll_ctl", "epoll_wait", "fcntl", "fcntl64", "fdatasync", "fstat64", "fsync", "ftruncate",
    "ftruncate64", "getpeername", "getrandom", "getsockname", "getsockopt", "ioctl", "listen", "open64",
    "poll", "pread64", "pwrite", "pwrite64", "read", "recv", "send", "setsockopt", "shutdown", "socket",
    "socketpair", "stat64", "unlink", "write", NULL,
};
