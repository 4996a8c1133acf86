/* Makes system calls of one process fail. Loaded with LD_PRELOAD.
 *
 * FAULTS_PLAN holds rules, separated by semicolons: `call fault share from until`. `share` of the calls fail
 * between `from` and `until`, in seconds after the start of the process. Calls: accept, socket, connect,
 * read, write, epoll, hold, clock. Faults: the name of an errno; `short` for read and write, which then
 * transfer 1 to 3 bytes; for hold the seconds by which a call that reads the monotonic clock is delayed; for
 * clock the whole seconds by which the wall clock is stepped, from `from` on and whatever `share` and `until`
 * are.
 *
 * FAULTS_SEED seeds the random generator. FAULTS_COUNTS names a file that gets the number of faults of each
 * rule as 64-bit integers, in the order of the plan. Of the socket calls only those on IPv4 sockets fail.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_RULES 32 /* the same constant as in syscalls.py */
#define MAX_DESCRIPTORS 65536
#define SHORT_CALL (-1) /* the fault `short` */

enum kind { ACCEPT, SOCKET, CONNECT, READ, WRITE, EPOLL, HOLD, CLOCK, KIND_COUNT };

static const char *const kind_names[KIND_COUNT] = {"accept", "socket", "connect", "read",
                                                   "write",  "epoll",  "hold",    "clock"};

struct rule {
    enum kind kind;
    int fault;      /* errno or SHORT_CALL; unused for hold and clock */
    double seconds; /* length of a hold, or of a step of the clock */
    double share, from, until;
};

static const struct {
    const char *name;
    int number;
} fault_codes[] = {
    {"ECONNABORTED", ECONNABORTED}, {"ENFILE", ENFILE},           {"EMFILE", EMFILE},
    {"ENOBUFS", ENOBUFS},           {"ENOMEM", ENOMEM},           {"EINTR", EINTR},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},       {"EAGAIN", EAGAIN},           {"ECONNRESET", ECONNRESET},
    {"EPROTO", EPROTO},             {"EPERM", EPERM},             {"short", SHORT_CALL},
};

static struct rule rules[MAX_RULES];
static int rule_count;
static uint64_t *fault_counts;
static uint64_t private_counts[MAX_RULES]; /* used without a FAULTS_COUNTS file */
static uint64_t random_state = 88172645463325252ULL;
static struct timespec process_start;
static unsigned char is_ipv4[MAX_DESCRIPTORS]; /* by file descriptor */
static int initialized;

/* Looks up the function that this library replaces, as `real`. */
#define RESOLVE_REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name); \
    if (!initialized) initialize()

/* Separate from RESOLVE_REAL: initialize() and process_age() need the real clock. */
static int (*real_clock_gettime)(clockid_t, struct timespec *);

static double process_age(void)
{
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)(now.tv_sec - process_start.tv_sec) + (double)(now.tv_nsec - process_start.tv_nsec) / 1e9;
}

static void add_rule(const char *text)
{
    char kind[16], fault[24];
    struct rule rule = {0};
    int i;
    if (rule_count == MAX_RULES ||
        sscanf(text, " %15s %23s %lf %lf %lf", kind, fault, &rule.share, &rule.from, &rule.until) != 5) {
        fprintf(stderr, "FAULTS_PLAN: invalid rule: %s\n", text);
        _exit(70);
    }
    for (i = 0; i < KIND_COUNT && strcmp(kind, kind_names[i]); i++) {}
    rule.kind = (enum kind)i;
    rule.seconds = strtod(fault, NULL);
    for (i = 0; i < (int)(sizeof fault_codes / sizeof *fault_codes); i++)
        if (!strcmp(fault, fault_codes[i].name)) rule.fault = fault_codes[i].number;
    if (rule.kind == KIND_COUNT || (rule.kind < HOLD && !rule.fault)) {
        fprintf(stderr, "FAULTS_PLAN: unknown call or fault: %s\n", text);
        _exit(70);
    }
    rules[rule_count++] = rule;
}

/* Runs before main, while there is only one thread; or at the first intercepted call, if another library
 * makes one before that. */
__attribute__((constructor)) static void initialize(void)
{
    if (initialized) return;
    initialized = 1;
    const char *plan = getenv("FAULTS_PLAN"), *seed = getenv("FAULTS_SEED"), *path = getenv("FAULTS_COUNTS");
    char *plan_copy, *rule_text, *position = NULL;
    int file;
    real_clock_gettime = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    real_clock_gettime(CLOCK_MONOTONIC, &process_start);
    if (seed) random_state ^= strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ULL;
    if (!random_state) random_state = 1;
    plan_copy = strdup(plan ? plan : "");
    for (rule_text = strtok_r(plan_copy, ";", &position); rule_text;
         rule_text = strtok_r(NULL, ";", &position))
        add_rule(rule_text);
    free(plan_copy);
    fault_counts = private_counts;
    if (path && (file = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600)) >= 0) {
        if (!ftruncate(file, sizeof private_counts)) {
            void *shared = mmap(NULL, sizeof private_counts, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
            if (shared != MAP_FAILED) fault_counts = shared;
        }
        close(file);
    }
}

/* Returns a random number from 0 up to, but not including, 1 (xorshift64). */
static double random_share(void)
{
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (double)(random_state >> 11) / 9007199254740992.0;
}

/* Returns the rule that applies to this call, after counting it, or NULL. */
static struct rule *applying_rule(enum kind kind)
{
    double now = -1;
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (rule->kind != kind) continue;
        if (now < 0) now = process_age();
        if (now >= rule->from && now < rule->until && random_share() < rule->share) {
            fault_counts[i]++;
            return rule;
        }
    }
    return NULL;
}

static int is_ipv4_socket(int fd) { return fd >= 0 && fd < MAX_DESCRIPTORS && is_ipv4[fd]; }

/* Records whether a descriptor is an IPv4 socket. */
static void set_ipv4(int fd, int value)
{
    if (fd >= 0 && fd < MAX_DESCRIPTORS) is_ipv4[fd] = (unsigned char)value;
}

/* Sets errno and returns 1 if the call has to fail. */
static int inject_error(enum kind kind)
{
    struct rule *rule = applying_rule(kind);
    if (rule) errno = rule->fault;
    return rule != NULL;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    RESOLVE_REAL(accept4);
    if (is_ipv4_socket(fd) && inject_error(ACCEPT)) return -1;
    int new_fd = real(fd, address, length, flags);
    set_ipv4(new_fd, is_ipv4_socket(fd));
    return new_fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) { return accept4(fd, address, length, 0); }

int socket(int domain, int type, int protocol)
{
    RESOLVE_REAL(socket);
    if (domain == AF_INET && inject_error(SOCKET)) return -1;
    int new_fd = real(domain, type, protocol);
    set_ipv4(new_fd, domain == AF_INET);
    return new_fd;
}

int close(int fd)
{
    RESOLVE_REAL(close);
    set_ipv4(fd, 0);
    return real(fd);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    RESOLVE_REAL(connect);
    if (is_ipv4_socket(fd) && inject_error(CONNECT)) return -1;
    return real(fd, address, length);
}

/* Returns how many of `size` bytes a call may transfer; 0, with errno set, if the call has to fail. */
static size_t transfer_limit(int fd, enum kind kind, size_t size)
{
    struct rule *rule = is_ipv4_socket(fd) && size ? applying_rule(kind) : NULL;
    if (!rule) return size;
    if (rule->fault == SHORT_CALL) {
        size_t short_size = 1 + (size_t)(random_share() * 3);
        return short_size < size ? short_size : size;
    }
    errno = rule->fault;
    return 0;
}

ssize_t read(int fd, void *buffer, size_t size)
{
    RESOLVE_REAL(read);
    size_t limit = transfer_limit(fd, READ, size);
    return size && !limit ? -1 : real(fd, buffer, limit);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags)
{
    RESOLVE_REAL(recv);
    size_t limit = transfer_limit(fd, READ, size);
    return size && !limit ? -1 : real(fd, buffer, limit, flags);
}

ssize_t write(int fd, const void *buffer, size_t size)
{
    RESOLVE_REAL(write);
    size_t limit = transfer_limit(fd, WRITE, size);
    return size && !limit ? -1 : real(fd, buffer, limit);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags)
{
    RESOLVE_REAL(send);
    size_t limit = transfer_limit(fd, WRITE, size);
    return size && !limit ? -1 : real(fd, buffer, limit, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    RESOLVE_REAL(writev);
    size_t size = 0;
    for (int i = 0; i < count; i++) size += parts[i].iov_len;
    size_t limit = transfer_limit(fd, WRITE, size);
    if (size && !limit) return -1;
    if (limit == size) return real(fd, parts, count);
    while (!parts->iov_len) parts++;
    struct iovec first = {parts->iov_base, limit < parts->iov_len ? limit : parts->iov_len};
    return real(fd, &first, 1);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    RESOLVE_REAL(sendmsg);
    return is_ipv4_socket(fd) && inject_error(WRITE) ? -1 : real(fd, message, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    RESOLVE_REAL(epoll_wait);
    return inject_error(EPOLL) ? -1 : real(fd, events, max_events, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask)
{
    RESOLVE_REAL(epoll_pwait);
    return inject_error(EPOLL) ? -1 : real(fd, events, max_events, timeout, mask);
}

/* Returns the seconds by which the wall clock is off: the sum of all steps so far, which are not random. */
static double clock_offset(void)
{
    double offset = 0;
    for (int i = 0; i < rule_count; i++)
        if (rules[i].kind == CLOCK && process_age() >= rules[i].from) {
            fault_counts[i]++;
            offset += rules[i].seconds;
        }
    return offset;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    if (!initialized) initialize();
    int result = real_clock_gettime(clock, now);
    if (!result && clock == CLOCK_REALTIME) {
        double offset = clock_offset();
        now->tv_sec += (time_t)offset;
    } else if (!result && clock == CLOCK_MONOTONIC) {
        struct rule *rule = applying_rule(HOLD);
        if (rule) usleep((useconds_t)(rule->seconds * 1e6));
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec exact;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &exact);
    now->tv_sec = exact.tv_sec;
    now->tv_usec = exact.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *into)
{
    struct timespec exact;
    clock_gettime(CLOCK_REALTIME, &exact);
    if (into) *into = exact.tv_sec;
    return exact.tv_sec;
}
