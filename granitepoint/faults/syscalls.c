/* System calls that fail, loaded into one process with LD_PRELOAD.
 *
 * FAULTS_PLAN holds rules, separated by semicolons: `call fault share from until`, times in seconds since the
 * process started. `share` of the calls fail in that span. Calls: accept, socket, connect, read, write,
 * epoll, hold, clock. Faults: an errno by name; `short` for read and write, which then pass 1 to 3 bytes;
 * for hold the seconds that a reader of the monotonic clock is held up; for clock the seconds by which the
 * wall clock is stepped. FAULTS_SEED seeds the chance. FAULTS_COUNTS names a file to which the number of
 * faults of each rule is written, as 64-bit integers in the plan's order. Only Internet sockets are touched.
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

#define MOST_RULES 32
#define MOST_DESCRIPTORS 65536
#define SHORT_CALL (-1)

enum kind { ACCEPT, SOCKET, CONNECT, READ, WRITE, EPOLL, HOLD, CLOCK, KINDS };

static const char *const kind_names[KINDS] = {"accept", "socket", "connect", "read",
                                              "write",  "epoll",  "hold",    "clock"};

struct rule {
    enum kind kind;
    int fault;     /* an errno, or SHORT_CALL */
    double amount; /* seconds, of hold and clock */
    double share, from, until;
};

static const struct {
    const char *name;
    int number;
} errors[] = {
    {"ECONNABORTED", ECONNABORTED}, {"ENFILE", ENFILE},           {"EMFILE", EMFILE},
    {"ENOBUFS", ENOBUFS},           {"ENOMEM", ENOMEM},           {"EINTR", EINTR},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},       {"EAGAIN", EAGAIN},           {"ECONNRESET", ECONNRESET},
    {"EPROTO", EPROTO},             {"EPERM", EPERM},             {"short", SHORT_CALL},
};

static struct rule rules[MOST_RULES];
static int rule_count;
static uint64_t *counts;
static uint64_t own_counts[MOST_RULES];
static uint64_t chance = 88172645463325252ULL;
static struct timespec began;
static unsigned char internet[MOST_DESCRIPTORS];
static int loaded;

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name); \
    if (!loaded) load()

static int (*real_clock)(clockid_t, struct timespec *);

static double elapsed(void)
{
    struct timespec now;
    real_clock(CLOCK_MONOTONIC, &now);
    return (double)(now.tv_sec - began.tv_sec) + (double)(now.tv_nsec - began.tv_nsec) / 1e9;
}

static void add_rule(const char *text)
{
    char kind[16], fault[24];
    struct rule rule = {0};
    int i;
    if (rule_count == MOST_RULES ||
        sscanf(text, " %15s %23s %lf %lf %lf", kind, fault, &rule.share, &rule.from, &rule.until) != 5) {
        fprintf(stderr, "FAULTS_PLAN: not a rule: %s\n", text);
        _exit(70);
    }
    for (i = 0; i < KINDS && strcmp(kind, kind_names[i]); i++) {}
    rule.kind = (enum kind)i;
    rule.amount = strtod(fault, NULL);
    for (i = 0; i < (int)(sizeof errors / sizeof *errors); i++)
        if (!strcmp(fault, errors[i].name)) rule.fault = errors[i].number;
    if (rule.kind == KINDS || (rule.kind < HOLD && !rule.fault)) {
        fprintf(stderr, "FAULTS_PLAN: no such fault: %s\n", text);
        _exit(70);
    }
    rules[rule_count++] = rule;
}

/* Before main, while there is one thread; or at the first call, if another library makes one sooner. */
__attribute__((constructor)) static void load(void)
{
    if (loaded) return;
    loaded = 1;
    const char *plan = getenv("FAULTS_PLAN"), *seed = getenv("FAULTS_SEED"), *path = getenv("FAULTS_COUNTS");
    char *copy, *part, *rest = NULL;
    int file;
    real_clock = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    real_clock(CLOCK_MONOTONIC, &began);
    if (seed) chance ^= strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ULL;
    if (!chance) chance = 1;
    copy = strdup(plan ? plan : "");
    for (part = strtok_r(copy, ";", &rest); part; part = strtok_r(NULL, ";", &rest)) add_rule(part);
    free(copy);
    counts = own_counts;
    if (path && (file = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600)) >= 0) {
        if (!ftruncate(file, sizeof own_counts)) {
            void *shared = mmap(NULL, sizeof own_counts, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
            if (shared != MAP_FAILED) counts = shared;
        }
        close(file);
    }
}

static double draw(void)
{
    chance ^= chance << 13;
    chance ^= chance >> 7;
    chance ^= chance << 17;
    return (double)(chance >> 11) / 9007199254740992.0;
}

/* The rule that strikes this call, or NULL. */
static struct rule *struck(enum kind kind)
{
    double now = -1;
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (rule->kind != kind) continue;
        if (now < 0) now = elapsed();
        if (now >= rule->from && now < rule->until && draw() < rule->share) {
            counts[i]++;
            return rule;
        }
    }
    return NULL;
}

static int is_internet(int fd) { return fd >= 0 && fd < MOST_DESCRIPTORS && internet[fd]; }

static void mark(int fd, int value)
{
    if (fd >= 0 && fd < MOST_DESCRIPTORS) internet[fd] = (unsigned char)value;
}

static int fails(enum kind kind)
{
    struct rule *rule = struck(kind);
    if (rule) errno = rule->fault;
    return rule != NULL;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    REAL(accept4);
    if (is_internet(fd) && fails(ACCEPT)) return -1;
    int made = real(fd, address, length, flags);
    mark(made, is_internet(fd));
    return made;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) { return accept4(fd, address, length, 0); }

int socket(int domain, int type, int protocol)
{
    REAL(socket);
    if (domain == AF_INET && fails(SOCKET)) return -1;
    int made = real(domain, type, protocol);
    mark(made, domain == AF_INET);
    return made;
}

int close(int fd)
{
    REAL(close);
    mark(fd, 0);
    return real(fd);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    REAL(connect);
    if (is_internet(fd) && fails(CONNECT)) return -1;
    return real(fd, address, length);
}

/* How many of these bytes a call may pass; 0: it fails, with errno set. */
static size_t allowed(int fd, enum kind kind, size_t size)
{
    struct rule *rule = is_internet(fd) && size ? struck(kind) : NULL;
    if (!rule) return size;
    if (rule->fault == SHORT_CALL) {
        size_t few = 1 + (size_t)(draw() * 3);
        return few < size ? few : size;
    }
    errno = rule->fault;
    return 0;
}

ssize_t read(int fd, void *buffer, size_t size)
{
    REAL(read);
    size_t most = allowed(fd, READ, size);
    return size && !most ? -1 : real(fd, buffer, most);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags)
{
    REAL(recv);
    size_t most = allowed(fd, READ, size);
    return size && !most ? -1 : real(fd, buffer, most, flags);
}

ssize_t write(int fd, const void *buffer, size_t size)
{
    REAL(write);
    size_t most = allowed(fd, WRITE, size);
    return size && !most ? -1 : real(fd, buffer, most);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags)
{
    REAL(send);
    size_t most = allowed(fd, WRITE, size);
    return size && !most ? -1 : real(fd, buffer, most, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    REAL(writev);
    size_t size = 0;
    for (int i = 0; i < count; i++) size += parts[i].iov_len;
    size_t most = allowed(fd, WRITE, size);
    if (size && !most) return -1;
    if (most == size) return real(fd, parts, count);
    while (!parts->iov_len) parts++;
    struct iovec first = {parts->iov_base, most < parts->iov_len ? most : parts->iov_len};
    return real(fd, &first, 1);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    REAL(sendmsg);
    return is_internet(fd) && fails(WRITE) ? -1 : real(fd, message, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    REAL(epoll_wait);
    return fails(EPOLL) ? -1 : real(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask)
{
    REAL(epoll_pwait);
    return fails(EPOLL) ? -1 : real(fd, events, most, timeout, mask);
}

/* Steps are no chance: each that has come moves the clock on. */
static double stepped(void)
{
    double sum = 0;
    for (int i = 0; i < rule_count; i++)
        if (rules[i].kind == CLOCK && elapsed() >= rules[i].from) {
            counts[i]++;
            sum += rules[i].amount;
        }
    return sum;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    if (!loaded) load();
    int result = real_clock(clock, now);
    if (!result && clock == CLOCK_REALTIME) {
        double sum = stepped();
        now->tv_sec += (time_t)sum;
    } else if (!result && clock == CLOCK_MONOTONIC) {
        struct rule *rule = struck(HOLD);
        if (rule) usleep((useconds_t)(rule->amount * 1e6));
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
