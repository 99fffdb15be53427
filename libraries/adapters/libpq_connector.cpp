#include "adapters/libpq_connector.h"

#include <charconv>
#include <deque>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <libpq-fe.h>

namespace greengagehitch {

namespace {

struct pg_connection_closer {
    void operator()(PGconn* handle) const { PQfinish(handle); }
};
using pg_connection = std::unique_ptr<PGconn, pg_connection_closer>;

struct pg_result_clearer {
    void operator()(PGresult* result) const { PQclear(result); }
};
using pg_result = std::unique_ptr<PGresult, pg_result_clearer>;

database_failure to_failure(PGresult const* result)
{
    auto const* const sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    auto const* const message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
    database_failure failure;
    failure.sqlstate = sqlstate == nullptr ? "" : sqlstate;
    failure.error = classify_sqlstate(failure.sqlstate);
    failure.message = message == nullptr ? PQresultErrorMessage(result) : message;
    return failure;
}

result_set to_result_set(PGresult* result)
{
    result_set converted;
    auto const columns = PQnfields(result);
    for (int i = 0; i < columns; ++i) {
        converted.columns.push_back({PQfname(result, i), PQftype(result, i)});
    }
    auto const rows = PQntuples(result);
    converted.rows.reserve(static_cast<std::size_t>(rows));
    for (int row = 0; row < rows; ++row) {
        result_row fields;
        fields.reserve(static_cast<std::size_t>(columns));
        for (int i = 0; i < columns; ++i) {
            if (PQgetisnull(result, row, i) != 0) {
                fields.emplace_back();
                continue;
            }
            fields.emplace_back(std::string(PQgetvalue(result, row, i),
                                            static_cast<std::size_t>(PQgetlength(result, row, i))));
        }
        converted.rows.push_back(std::move(fields));
    }
    // libpq also reports a row count for a SELECT, which affects no rows.
    auto const is_select = std::string_view(PQcmdStatus(result)).starts_with("SELECT");
    std::string_view const affected = is_select ? "" : PQcmdTuples(result);
    std::from_chars(affected.data(), affected.data() + affected.size(), converted.affected_rows);
    return converted;
}

} // namespace

/// One libpq connection with the batches whose answers are pending.
class libpq_connector::connection : public std::enable_shared_from_this<libpq_connector::connection> {
public:
    connection(reactor& reactor, libpq_options const& options) : m_reactor(reactor), m_options(options) {}

    ~connection() { end(); }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    void open(member_address const& address, open_callback on_opened)
    {
        m_on_opened = std::move(on_opened);
        auto const port = fmt::to_string(address.port);
        std::vector<char const*> const names{"hostaddr", "port",    "dbname",           "user",
                                             "password", "sslmode", "application_name", nullptr};
        std::vector<char const*> const values{address.host.c_str(),
                                              port.c_str(),
                                              address.database.c_str(),
                                              m_options.user.c_str(),
                                              m_options.password.c_str(),
                                              m_options.tls_mode.c_str(),
                                              m_options.application_name.c_str(),
                                              nullptr};
        m_handle.reset(PQconnectStartParams(names.data(), values.data(), 0));
        if (!m_handle || PQstatus(m_handle.get()) == CONNECTION_BAD) {
            fail_later(database_error::refused);
            return;
        }
        watch(EPOLLOUT);
    }

    void execute(batch const& request, batch_callback on_answered)
    {
        if (m_is_ended) {
            m_pending.push_back({0, {}, std::move(on_answered)});
            fail_later(database_error::connection_lost);
            return;
        }
        m_pending.push_back({request.statements.size(), {}, std::move(on_answered)});
        for (auto const& each : request.statements) {
            std::vector<char const*> values;
            values.reserve(each.parameters.size());
            for (auto const& value : each.parameters) {
                values.push_back(value ? value->c_str() : nullptr);
            }
            PQsendQueryParams(m_handle.get(), each.sql.c_str(), static_cast<int>(values.size()), nullptr,
                              values.data(), nullptr, nullptr, 0);
        }
        PQpipelineSync(m_handle.get());
        flush();
    }

    /// Closes the connection without calling any pending callback.
    void abandon()
    {
        m_on_opened = nullptr;
        m_pending.clear();
        end();
    }

private:
    struct pending_batch {
        std::size_t statements = 0;
        batch_answer answer;
        batch_callback on_answered;
    };

    void watch(std::uint32_t events)
    {
        auto const descriptor = PQsocket(m_handle.get());
        if (m_descriptor == descriptor && m_watched_events == events) {
            return;
        }
        if (m_descriptor >= 0 && m_descriptor != descriptor) {
            // libpq is trying another socket and has closed the previous one.
            m_reactor.unwatch(m_descriptor);
        }
        m_descriptor = descriptor;
        m_watched_events = events;
        m_reactor.watch(descriptor, events, [weak = weak_from_this()](std::uint32_t /*ready*/) {
            if (auto const self = weak.lock()) {
                self->handle_ready();
            }
        });
    }

    void handle_ready()
    {
        if (m_is_ended) {
            return;
        }
        if (m_on_opened) {
            continue_opening();
            return;
        }
        if (PQconsumeInput(m_handle.get()) == 0) {
            fail(database_error::connection_lost);
            return;
        }
        flush();
        read_results();
    }

    void continue_opening()
    {
        switch (PQconnectPoll(m_handle.get())) {
        case PGRES_POLLING_READING:
            watch(EPOLLIN);
            return;
        case PGRES_POLLING_WRITING:
            watch(EPOLLOUT);
            return;
        case PGRES_POLLING_OK:
            PQsetnonblocking(m_handle.get(), 1);
            PQenterPipelineMode(m_handle.get());
            PQsetNoticeProcessor(
                m_handle.get(), [](void* /*argument*/, char const* /*message*/) {}, nullptr);
            watch(EPOLLIN);
            std::exchange(m_on_opened, nullptr)(std::nullopt);
            return;
        default:
            fail(database_error::refused);
            return;
        }
    }

    void flush()
    {
        auto const flush_status = PQflush(m_handle.get());
        if (flush_status < 0) {
            fail_later(database_error::connection_lost);
            return;
        }
        watch(flush_status == 0 ? EPOLLIN : EPOLLIN | EPOLLOUT);
    }

    void read_results()
    {
        auto const self = shared_from_this();
        while (!m_is_ended && !m_pending.empty() && PQisBusy(m_handle.get()) == 0) {
            pg_result const result(PQgetResult(m_handle.get()));
            if (!result) {
                // PQgetResult() returns null between the results of two statements of a pipeline.
                if (PQpipelineStatus(m_handle.get()) == PQ_PIPELINE_OFF ||
                    PQstatus(m_handle.get()) == CONNECTION_BAD) {
                    fail(database_error::connection_lost);
                    return;
                }
                if (std::exchange(m_was_last_result_null, true)) {
                    return;
                }
                continue;
            }
            m_was_last_result_null = false;
            handle_result(result.get());
        }
    }

    void handle_result(PGresult* result)
    {
        auto& front = m_pending.front();
        switch (PQresultStatus(result)) {
        case PGRES_PIPELINE_SYNC: {
            auto finished = std::move(front);
            m_pending.pop_front();
            finished.on_answered(std::move(finished.answer));
            return;
        }
        case PGRES_PIPELINE_ABORTED:
            return;
        case PGRES_COMMAND_OK:
        case PGRES_TUPLES_OK:
        case PGRES_EMPTY_QUERY:
            front.answer.results.push_back(to_result_set(result));
            return;
        default:
            if (!front.answer.failure) {
                front.answer.failure = to_failure(result);
            }
            return;
        }
    }

    void fail_later(database_error error)
    {
        m_reactor.start_timer(duration::zero(), [weak = weak_from_this(), error] {
            if (auto const self = weak.lock()) {
                self->fail(error);
            }
        });
    }

    void fail(database_error error)
    {
        auto const self = shared_from_this();
        database_failure failure{error, "", m_handle ? PQerrorMessage(m_handle.get()) : "out of memory"};
        auto const too_many = failure.message.find("too many") != std::string::npos;
        if (error == database_error::refused && too_many) {
            failure.error = database_error::too_many_connections;
        }
        end();
        if (auto const on_opened = std::exchange(m_on_opened, nullptr)) {
            on_opened(failure);
        }
        auto pending = std::exchange(m_pending, {});
        for (auto& each : pending) {
            each.answer.failure = failure;
            each.on_answered(std::move(each.answer));
        }
    }

    void end()
    {
        if (std::exchange(m_is_ended, true)) {
            return;
        }
        if (m_descriptor >= 0) {
            m_reactor.unwatch(m_descriptor);
        }
        m_handle.reset();
    }

    reactor& m_reactor;
    libpq_options const& m_options;
    pg_connection m_handle;
    int m_descriptor = -1;
    std::uint32_t m_watched_events = 0;
    bool m_is_ended = false;
    bool m_was_last_result_null = false;
    open_callback m_on_opened;
    std::deque<pending_batch> m_pending;
};

libpq_connector::libpq_connector(reactor& reactor, libpq_options options)
    : m_reactor(reactor), m_options(std::move(options))
{
}

libpq_connector::~libpq_connector()
{
    for (auto const& [id, each] : m_connections) {
        each->abandon();
    }
}

database_hooks libpq_connector::hooks()
{
    return {
        [this](member_address const& address, open_callback on_opened) {
            return open(address, std::move(on_opened));
        },
        [this](connection_id id, batch const& request, batch_callback on_answered) {
            execute(id, request, std::move(on_answered));
        },
        [this](connection_id id) { close(id); },
    };
}

connection_id libpq_connector::open(member_address const& address, open_callback on_opened)
{
    auto const id = m_next_id++;
    auto const added = std::make_shared<connection>(m_reactor, m_options);
    m_connections.emplace(id, added);
    added->open(address, std::move(on_opened));
    return connection_id{id};
}

void libpq_connector::execute(connection_id id, batch const& request, batch_callback on_answered)
{
    auto const found = m_connections.find(static_cast<std::uint64_t>(id));
    if (found == m_connections.end()) {
        return;
    }
    auto const target = found->second;
    target->execute(request, std::move(on_answered));
}

void libpq_connector::close(connection_id id)
{
    auto const found = m_connections.find(static_cast<std::uint64_t>(id));
    if (found == m_connections.end()) {
        return;
    }
    // Keeps the connection alive until it is closed, because close() may be called from one of its callbacks.
    auto const closing = std::move(found->second);
    m_connections.erase(found);
    closing->abandon();
}

} // namespace greengagehitch
