// Tests of the limits on what is read: the message reader in each of its states, the budget of all connections, and a
// client whose server sends without an end.
#include "http/client_base.h"
#include "http/json_func.h"
#include "http/message_reader_internal.h"
#include "http/read_budget_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <thread>

using namespace mimosapier;
using boost::asio::ip::tcp;
using mimosapier::detail::RequestReader;

static const std::string Head = "POST /q HTTP/1.1\r\nHost: h\r\n";
static const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

// Feeds `opening` and then `filler` without an end. Returns the refusal, and checks that it came early.
static HttpRefusal refusalOf(const std::string &opening, const std::string &filler, std::size_t pieceBytes)
{
    const HttpMessageLimits limits;
    RequestReader reader(limits);
    std::string bytes = opening;
    std::size_t sent = 0;
    constexpr std::size_t MaxHeld = 2'000'000;
    constexpr std::size_t MaxSent = 4'000'000;
    while (sent < MaxSent) {
        while (bytes.size() < pieceBytes) {
            bytes += filler;
        }
        reader.feed(std::string_view(bytes).substr(0, pieceBytes));
        bytes.erase(0, pieceBytes);
        sent += pieceBytes;
        cr_assert_leq(reader.heldBytes(), MaxHeld);
        if (reader.refusal() != HttpRefusal::Count) {
            return reader.refusal();
        }
        cr_assert(!reader.isDone());
    }
    return HttpRefusal::Count;
}

// Guards against a part of a request that may grow without an end, in small and large pieces.
Test(limits, requestsWithoutEndAreRefused)
{
    for (const std::size_t piece : {100U, 16'384U, 100'000U}) {
        cr_assert(refusalOf("GET /", "p", piece) == HttpRefusal::StartLine);
        cr_assert(refusalOf(Head, "X-Field: " + std::string(60, 'v') + "\r\n", piece) == HttpRefusal::HeaderBytes);
        cr_assert(refusalOf(Head + "X-Field: ", "v", piece) == HttpRefusal::HeaderBytes);
        cr_assert(refusalOf(Chunked + "2\r\n{}\r\n0\r\n", "X-Field: value\r\n", piece) == HttpRefusal::TrailerBytes);
        cr_assert(refusalOf(Chunked + "2\r\n{}\r\n0\r\n", "n", piece) == HttpRefusal::TrailerBytes);
        cr_assert(refusalOf(Chunked + "2;x=", "e", piece) == HttpRefusal::ChunkLine);
        cr_assert(refusalOf(Chunked, "0", piece) == HttpRefusal::ChunkLine);
        cr_assert(refusalOf(Chunked, "1;x=eeeeeeeeeeeeeeeeeeeeeeeeeeeeeeee\r\na\r\n", piece)
                  == HttpRefusal::ChunkOverhead);
        cr_assert(refusalOf(Chunked, "4\r\nabcd\r\n", piece) == HttpRefusal::BodyBytes);
        cr_assert(refusalOf(Head + "Content-Length: 2000000\r\n\r\n", "b", piece) == HttpRefusal::BodyBytes);
    }
}

// Guards against defaults that refuse an ordinary client: a header of 16,384 bytes and a body of 262,144 bytes, also in
// the forms with the most fields and chunks.
Test(limits, ordinaryRequestsAreAccepted)
{
    constexpr std::size_t HeaderBytes = 16'384;
    constexpr std::size_t BodyBytes = 262'144;
    std::string fields;
    while (fields.size() + 4 <= HeaderBytes - Chunked.size()) {
        fields += "a:\r\n";
    }
    std::string body;
    for (std::size_t i = 0; i < BodyBytes; ++i) {
        body += "1\r\nb\r\n";
    }
    const std::string requests[] = {
        Head + fields + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n",
        Head + "X-Field: " + std::string(HeaderBytes, 'v') + "\r\nContent-Length: " + std::to_string(BodyBytes)
            + "\r\n\r\n" + std::string(BodyBytes, 'b'),
        "GET /" + std::string(HeaderBytes - 20, 'p') + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n"
            + std::string(BodyBytes, 'b') + "\r\n0\r\n\r\n",
    };
    const HttpMessageLimits limits;
    for (const std::string &request : requests) {
        for (const std::size_t piece : {1'000U, 2'000'000U}) {
            RequestReader reader(limits);
            for (std::size_t i = 0; i < request.size(); i += piece) {
                reader.feed(std::string_view(request).substr(i, piece));
                cr_assert(reader.refusal() == HttpRefusal::Count, "%s",
                          std::string(httpRefusalName(reader.refusal())).c_str());
            }
            cr_assert(reader.isDone());
            cr_assert_eq(reader.message().body_.size(), BodyBytes);
        }
    }
}

// Guards against an assertion of the library that ends the process: it failed when the last chunk line and the byte
// after it arrived in separate pieces. Found by fuzz_request_reader 200000 1000000.
Test(limits, lastChunkInSmallPieces)
{
    const HttpMessageLimits limits;
    for (const std::string &end : {std::string("0\r\n\r\n"), std::string("2\r\n{}\r\n0\r\n\r\n")}) {
        RequestReader reader(limits);
        reader.feed(Chunked);
        for (const char byte : end) {
            cr_assert(!reader.isDone());
            cr_assert_eq(reader.feed(std::string_view(&byte, 1)), 1U);
        }
        cr_assert(reader.isDone());
        RequestReader split(limits);
        split.feed(Chunked + end.substr(0, end.size() - 2));
        split.feed("\r");
        split.feed("\n");
        cr_assert(split.isDone());
    }
}

// Guards against memory for bytes that a client has only announced.
Test(limits, announcedBodyTakesNoMemory)
{
    const HttpMessageLimits limits;
    RequestReader reader(limits);
    reader.feed(Head + "Content-Length: 1000000\r\n\r\nb");
    cr_assert_leq(reader.heldBytes(), 1'000U);
    cr_assert_leq(reader.message().body_.capacity(), 1'000U);
}

// Guards against trailer fields that replace or add header fields.
Test(limits, trailerFieldsAreDropped)
{
    const HttpMessageLimits limits;
    RequestReader reader(limits);
    const std::string request = Chunked + "2\r\n{}\r\n0\r\nAuthorization: Bearer x\r\n\r\n";
    cr_assert_eq(reader.feed(request + "GET"), request.size());
    cr_assert(reader.isDone());
    cr_assert(headerValue(reader.message(), "Authorization").empty());
}

// Guards against a short text that takes much memory once it is parsed, and against counting what is inside strings.
Test(limits, jsonOfClientsIsBounded)
{
    const auto repeat = [](const std::string &text, std::size_t count) {
        std::string result;
        while (count-- > 0) {
            result += text;
        }
        return result;
    };
    Json json;
    cr_assert(!parseClientJson(repeat("[", 65) + repeat("]", 65), json));
    cr_assert(parseClientJson(repeat("[", 64) + repeat("]", 64), json));
    cr_assert(!parseClientJson("[0" + repeat(",0", 131'072) + "]", json));
    cr_assert(parseClientJson("[0" + repeat(",0", 131'071) + "]", json));
    cr_assert(parseClientJson("[\"\\\"" + repeat("[,", 200'000) + "\"]", json));
}

// Guards against eviction of small requests while a larger one is there, and against evicting more than needed.
Test(limits, largestUnfinishedRequestIsEvicted)
{
    ReadBudget budget(1'000);
    int smallEvictions = 0;
    int largeEvictions = 0;
    ReadBudget::Account small([&] { ++smallEvictions; });
    ReadBudget::Account large([&] { ++largeEvictions; });
    ReadBudget::Account other([&] { ++smallEvictions; });
    budget.update(small, 100, 400);
    budget.update(large, 450, 0);
    cr_assert_eq(largeEvictions, 0);
    budget.update(other, 100, 0);
    cr_assert(largeEvictions == 1 && smallEvictions == 0);
    budget.update(other, 150, 0);
    cr_assert(largeEvictions == 1 && smallEvictions == 0, "the evicted account was not counted as gone");
    budget.update(large, 0, 0);
    cr_assert_eq(budget.heldBytes(), 650U);
    cr_assert(budget.hasRoomForOpen(100) && !budget.hasRoomForOpen(101));
    budget.remove(small);
    budget.remove(other);
    cr_assert_eq(budget.heldBytes(), 0U);
}

// Server for one connection that answers with `opening` and then `filler` until the client closes.
static HttpResult resultOfEndless(const std::string &opening, const std::string &filler,
                                  std::shared_ptr<ReadBudget> budget, std::size_t &sent)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(opening), error);
        const std::string block = [&] {
            std::string text;
            while (text.size() < 65'536) {
                text += filler;
            }
            return text;
        }();
        constexpr std::size_t MaxSent = 64 * 1024 * 1024;
        while (!error && sent < MaxSent) {
            sent += boost::asio::write(socket, boost::asio::buffer(block), error);
        }
    });
    HttpClientOptions options;
    options.budget_ = std::move(budget);
    boost::asio::io_context clientContext;
    HttpClient client(clientContext, options);
    HttpResult result;
    client.send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), {"GET", "/", {}, ""},
                Milliseconds(20'000), [&](HttpResult answer) {
                    result = std::move(answer);
                    client.close();
                });
    clientContext.run();
    server.join();
    return result;
}

// Guards against a store, runner or policy service that exhausts the daemon's memory by what it answers.
Test(limits, responsesWithoutEndFail, .timeout = 60)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    // What the kernel holds on both sides comes on top of what the client has read.
    constexpr std::size_t MaxSent = 40 * 1024 * 1024;
    for (const auto &[opening, filler] :
         {std::pair(chunked + "2\r\n{}\r\n0\r\n", "X-Field: value\r\n"), std::pair(chunked + "2\r\n{}\r\n0\r\n", "n"),
          std::pair(chunked + "2;x=", "e"), std::pair(head, "X-Field: value\r\n"), std::pair(head + "\r\n", "b"),
          std::pair(std::string("HTTP/1.1 200 "), "r")}) {
        std::size_t sent = 0;
        const HttpResult result = resultOfEndless(opening, filler, nullptr, sent);
        cr_assert(result.delivery_ == HttpDelivery::MaybeSent);
        cr_assert(result.error_ == std::errc::message_size, "%s", result.error_.message().c_str());
        cr_assert_lt(sent, MaxSent);
    }
    std::size_t sent = 0;
    const HttpResult result
        = resultOfEndless(head + "\r\n", "b", std::make_shared<ReadBudget>(std::size_t{1'000'000}), sent);
    cr_assert(result.error_ == std::errc::no_buffer_space, "%s", result.error_.message().c_str());
}
