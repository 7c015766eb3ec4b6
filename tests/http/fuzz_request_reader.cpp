// Seeded fuzzer of the request reader. Usage: fuzz_request_reader [ITERATIONS [SEED]]; ctest runs the default. Each
// iteration mutates a request of the corpus, feeds it in random pieces, and checks that
// - the bytes held stay within what the limits allow, in every state;
// - a reader that has neither finished nor refused has not taken more than the limits allow;
// - the pieces make no difference: with wide limits, a request that is whole when it is fed at once is the same in
//   pieces. What is malformed may be found later in pieces: the parser then waits for the end of a header.
// Prints the seed of an iteration that fails, and exits with 1.
#include "http/message_reader_internal.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

using namespace mimosapier;
using mimosapier::detail::RequestReader;

static constexpr std::size_t DefaultIterations = 20'000;

static HttpMessageLimits lowLimits()
{
    HttpMessageLimits limits;
    limits.maxStartLineBytes_ = 100;
    limits.maxHeaderBytes_ = 400;
    limits.maxFields_ = 12;
    limits.maxTrailerBytes_ = 120;
    limits.maxChunkLineBytes_ = 40;
    limits.maxChunkOverheadBytes_ = 300;
    limits.maxBodyBytes_ = 500;
    return limits;
}

static HttpMessageLimits wideLimits()
{
    constexpr std::size_t Wide = 1'000'000;
    return {Wide, Wide, Wide, Wide, Wide, Wide, Wide};
}

static std::string repeat(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

// Requests of each kind that a client may send without regard to limits, and ordinary ones.
static std::vector<std::string> corpus()
{
    const std::string head = "POST /q/01 HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        head + "Content-Length: 2\r\n\r\n{}",
        chunked + "2\r\n{}\r\n0\r\n\r\n",
        chunked + "0\r\n\r\n",
        chunked + "2;a=b;c=\"d\"\r\n{}\r\n0;e\r\nX-Trailer: v\r\n\r\n",
        chunked + "2\r\n{}\r\n0\r\n" + repeat("X-Trailer: value\r\n", 60),
        chunked + "2\r\n{}\r\n0\r\n" + repeat("a:\r\n", 20) + "\r\n",
        chunked + "2\r\n{}\r\n0\r\n" + repeat("n", 900),
        chunked + "2\r\n{}\r\n0\r\nX-Trailer: " + repeat("v", 900),
        chunked + "2;x=" + repeat("e", 900),
        chunked + "0;x=" + repeat("e", 900),
        chunked + repeat("0", 900),
        chunked + repeat("1;x=eeeeeeeeeeeeeeeeeeee\r\na\r\n", 40),
        chunked + repeat("1\r\na\r\n", 200) + "0\r\n\r\n",
        chunked + "400\r\n" + repeat("b", 1024) + "\r\n0\r\n\r\n",
        chunked + "ffffffffffffffff\r\n" + repeat("b", 300),
        head + repeat("X-Field: value\r\n", 80),
        head + repeat("a:\r\n", 40) + "\r\n",
        head + repeat("n", 900),
        head + "X-Field: " + repeat("v", 900),
        "GET /" + repeat("p", 900),
        repeat("M", 900),
        head + "Content-Length: 400\r\n\r\n" + repeat("b", 400),
        head + "Content-Length: 100000\r\n\r\n" + repeat("b", 900),
        repeat("GET /q/01 HTTP/1.1\r\nHost: h\r\n\r\n", 30),
        "GET / HTTP/1.1\r\n",
        "",
    };
}

static std::size_t below(std::mt19937_64 &random, std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

static void mutate(std::string &bytes, std::mt19937_64 &random)
{
    static constexpr std::string_view Tokens[] = {"\r\n",
                                                  "\r\n\r\n",
                                                  "0\r\n",
                                                  ";",
                                                  ":",
                                                  " ",
                                                  "\t",
                                                  "\r",
                                                  "\n",
                                                  "Content-Length: 3\r\n",
                                                  "Transfer-Encoding: chunked\r\n",
                                                  "ff\r\n"};
    for (std::size_t count = below(random, 4); count > 0 && !bytes.empty(); --count) {
        const std::size_t position = below(random, bytes.size());
        switch (below(random, 5)) {
        case 0:
            bytes[position] = static_cast<char>(below(random, 256));
            break;
        case 1:
            bytes.erase(position, 1 + below(random, 8));
            break;
        case 2:
            bytes.insert(position, Tokens[below(random, std::size(Tokens))]);
            break;
        case 3:
            bytes.insert(position, bytes.substr(below(random, bytes.size()), below(random, 200)));
            break;
        default:
            bytes.resize(position);
        }
    }
}

struct Outcome
{
    bool done_ = false;
    HttpRefusal refusal_ = HttpRefusal::Count;
    std::size_t taken_ = 0;
    HttpRequest message_;

    bool operator==(const Outcome &other) const
    {
        const auto sameHeader = [](const HttpHeader &left, const HttpHeader &right) {
            return left.name_ == right.name_ && left.value_ == right.value_;
        };
        // A refused message is dropped, so what was read of it does not matter.
        return done_ == other.done_ && refusal_ == other.refusal_
            && (!done_
                || (taken_ == other.taken_ && message_.method_ == other.message_.method_
                    && message_.target_ == other.message_.target_ && message_.body_ == other.message_.body_
                    && std::equal(message_.headers_.begin(), message_.headers_.end(), other.message_.headers_.begin(),
                                  other.message_.headers_.end(), sameHeader)));
    }
};

static void fail(const std::string &what)
{
    throw std::runtime_error(what);
}

// Feeds all bytes in pieces of random length up to `maxPiece`; 0: at once. Checks the limits after each piece.
static Outcome run(const HttpMessageLimits &limits, std::string_view bytes, std::size_t maxPiece,
                   std::mt19937_64 &random)
{
    RequestReader reader(limits);
    Outcome outcome;
    const std::size_t maxUnparsed = limits.maxHeaderBytes_ + limits.maxChunkLineBytes_ + limits.maxTrailerBytes_ + 8;
    const std::size_t maxHeld
        = maxUnparsed + limits.maxHeaderBytes_ + limits.maxFields_ * sizeof(HttpHeader) + limits.maxBodyBytes_;
    const std::size_t maxTaken
        = maxUnparsed + limits.maxHeaderBytes_ + limits.maxBodyBytes_ + 2 + limits.maxChunkOverheadBytes_;
    while (!bytes.empty() && !reader.isDone() && reader.refusal() == HttpRefusal::Count) {
        const std::size_t size = maxPiece == 0 ? bytes.size() : 1 + below(random, maxPiece);
        const std::string_view piece = bytes.substr(0, size);
        const std::size_t taken = reader.feed(piece);
        if (taken > piece.size()) {
            fail("took more than it was given");
        }
        if (taken < piece.size() && !reader.isDone()) {
            fail("left bytes of an unfinished request");
        }
        bytes.remove_prefix(taken);
        outcome.taken_ += taken;
        if (reader.heldBytes() > maxHeld) {
            fail("holds " + std::to_string(reader.heldBytes()) + " bytes");
        }
        if (!reader.isDone() && reader.refusal() == HttpRefusal::Count && outcome.taken_ > maxTaken) {
            fail("took " + std::to_string(outcome.taken_) + " bytes without a result");
        }
    }
    outcome.refusal_ = reader.refusal();
    outcome.done_ = reader.isDone() && outcome.refusal_ == HttpRefusal::Count;
    outcome.message_ = reader.message();
    if (outcome.done_
        && (outcome.message_.body_.size() > limits.maxBodyBytes_
            || outcome.message_.headers_.size() > limits.maxFields_)) {
        fail("finished a request over its limits");
    }
    return outcome;
}

static void runIteration(const std::vector<std::string> &requests, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string bytes = requests[below(random, requests.size())];
    mutate(bytes, random);
    const std::size_t maxPiece = 1 + below(random, 200);
    const HttpMessageLimits low = lowLimits();
    run(low, bytes, maxPiece, random);
    run(low, bytes, 0, random);
    const HttpMessageLimits wide = wideLimits();
    const Outcome pieces = run(wide, bytes, maxPiece, random);
    const Outcome whole = run(wide, bytes, 0, random);
    if ((pieces.done_ || whole.done_) && !(pieces == whole)) {
        const auto describe = [](const Outcome &outcome) {
            return (outcome.done_ ? std::string("done")
                                  : "refusal " + std::to_string(static_cast<int>(outcome.refusal_)))
                + " after " + std::to_string(outcome.taken_) + " bytes";
        };
        fail("in pieces: " + describe(pieces) + ", at once: " + describe(whole) + ": " + bytes.substr(0, 400));
    }
}

int main(int argc, char **argv)
{
    const std::size_t iterations = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : DefaultIterations;
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    const std::vector<std::string> requests = corpus();
    for (std::uint64_t i = 0; i < iterations; ++i) {
        try {
            runIteration(requests, seed + i);
        } catch (const std::exception &error) {
            std::cerr << "fuzz_request_reader 1 " << seed + i << ": " << error.what() << '\n';
            return 1;
        }
    }
    std::cout << iterations << " iterations from seed " << seed << '\n';
    return 0;
}
