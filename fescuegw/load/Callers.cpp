#include "fescuegw/load/Callers.h"

#include <list>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace fescuegw::load {

using nlohmann::json;

namespace {

    constexpr Duration pollMost = std::chrono::milliseconds(10);
    constexpr long callTimeoutMs = 70000;
    constexpr Duration cancelAfter = std::chrono::milliseconds(50);
    // A caller whose connection breaks asks the next entry for the same job.
    constexpr Duration resendPause = std::chrono::milliseconds(100);
    constexpr uint32_t mostTries = 50;

    struct Resend {
        TimePoint at;
        size_t job = 0;
        uint32_t tries = 0;
        TimePoint due;
    };

    struct Transfer {
        size_t job = 0;
        bool cancels = false;
        // How often the job has been sent before.
        uint32_t tries = 0;
        TimePoint due;
        std::string request;
        std::string response;
        CURL* handle = nullptr;
    };

    std::string inputOf(const Job& job, size_t task)
    {
        const auto run = std::chrono::duration_cast<std::chrono::milliseconds>(job.runs[task]).count();
        return "task " + std::to_string(task) + " run_ms=" + std::to_string(run);
    }

    // What the caller declares: the true run time, or for wrong declarations anything between its bounds.
    uint64_t declaredRun(const Profile& profile, const Job& job, size_t task)
    {
        const auto run = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(job.runs[task]).count());
        const uint64_t mixed = (run + task + 1) * 0x9e3779b97f4a7c15ULL;
        if (mixed % 100 >= profile.wrongPercent)
            return run;
        return profile.runLeastMs + (mixed >> 32U) % (profile.runMostMs - profile.runLeastMs + 1);
    }

    std::string bodyOf(const Profile& profile, const Job& job)
    {
        json tasks = json::array();
        for (size_t i = 0; i < job.runs.size(); ++i)
            tasks.push_back({ { "index", i }, { "input", inputOf(job, i) }, { "run_ms", declaredRun(profile, job, i) } });
        return json { { "service", profile.service }, { "tasks", tasks } }.dump();
    }

    size_t onBody(char* data, size_t size, size_t count, void* user)
    {
        static_cast<std::string*>(user)->append(data, size * count);
        return size * count;
    }

    void judge(const Profile& profile, const Job& job, const std::string& text, CallResult& result)
    {
        const json answer = json::parse(text, nullptr, false);
        if (!answer.is_object())
            return;
        result.verdict = answer.value("verdict", "");
        result.reason = answer.value(result.status == 200 ? "reason" : "detail", "");
        result.complete = result.status == 200 && answer.value("state", "") == "complete";
        if (!result.complete)
            return;
        const json tasks = answer.value("tasks", json::array());
        result.partial = tasks.size() != job.runs.size();
        for (size_t i = 0; i < tasks.size() && i < job.runs.size(); ++i) {
            const std::string expected
                = profile.team + "/" + job.id + "/" + std::to_string(i) + ":" + contentDigest(inputOf(job, i));
            result.foreign = result.foreign || tasks[i].value("output", "") != expected;
        }
    }

    // Runs the transfers of one experiment on libcurl's multi interface.
    class Sender {
    public:
        Sender(const Profile& profile, const std::vector<Job>& jobs, const std::vector<std::string>& entries)
            : m_profile(profile)
            , m_jobs(jobs)
            , m_entries(entries)
            , m_multi(curl_multi_init())
            , m_results(jobs.size())
        {
        }

        ~Sender() { curl_multi_cleanup(m_multi); }
        Sender(const Sender&) = delete;
        Sender& operator=(const Sender&) = delete;
        Sender(Sender&&) = delete;
        Sender& operator=(Sender&&) = delete;

        std::vector<CallResult> run(const std::function<void(Duration)>& onTime)
        {
            const TimePoint start = monotonicNow();
            size_t next = 0;
            while (next < m_jobs.size() || !m_transfers.empty() || !m_resends.empty()) {
                const TimePoint now = monotonicNow();
                for (; next < m_jobs.size() && start + m_jobs[next].arrival <= now; ++next) {
                    begin(next, false, start + m_jobs[next].arrival, 0);
                    if (m_jobs[next].cancelled)
                        m_cancels.emplace_back(now + cancelAfter, next);
                }
                while (!m_cancels.empty() && m_cancels.front().first <= now) {
                    begin(m_cancels.front().second, true, now, 0);
                    m_cancels.pop_front();
                }
                while (!m_resends.empty() && m_resends.front().at <= now) {
                    const Resend resend = m_resends.front();
                    m_resends.pop_front();
                    begin(resend.job, false, resend.due, resend.tries);
                }
                Duration wait = pollMost;
                if (next < m_jobs.size())
                    wait = std::clamp(start + m_jobs[next].arrival - now, Duration(0), pollMost);
                int running = 0;
                curl_multi_perform(m_multi, &running);
                takeFinished();
                curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(wait.count() / 1000), nullptr);
                onTime(now - start);
            }
            return m_results;
        }

    private:
        void begin(size_t job, bool cancels, TimePoint due, uint32_t tries)
        {
            Transfer& transfer = m_transfers.emplace_back();
            transfer.job = job;
            transfer.cancels = cancels;
            transfer.due = due;
            transfer.tries = tries;
            transfer.handle = curl_easy_init();
            if (!cancels)
                transfer.request = bodyOf(m_profile, m_jobs[job]);
            const std::string url = "http://" + m_entries[(job + tries) % m_entries.size()] + "/v1/teams/" + m_profile.team
                + "/submissions/" + m_jobs[job].id;
            curl_easy_setopt(transfer.handle, CURLOPT_URL, url.c_str());
            curl_easy_setopt(transfer.handle, CURLOPT_CUSTOMREQUEST, cancels ? "DELETE" : "PUT");
            curl_easy_setopt(transfer.handle, CURLOPT_PROXY, "");
            curl_easy_setopt(transfer.handle, CURLOPT_TIMEOUT_MS, callTimeoutMs);
            curl_easy_setopt(transfer.handle, CURLOPT_WRITEFUNCTION, &onBody);
            curl_easy_setopt(transfer.handle, CURLOPT_WRITEDATA, &transfer.response);
            curl_easy_setopt(transfer.handle, CURLOPT_PRIVATE, &transfer);
            if (!cancels) {
                curl_easy_setopt(transfer.handle, CURLOPT_POSTFIELDS, transfer.request.data());
                curl_easy_setopt(transfer.handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer.request.size()));
            }
            curl_multi_add_handle(m_multi, transfer.handle);
        }

        void takeFinished()
        {
            int left = 0;
            while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
                if (message->msg != CURLMSG_DONE)
                    continue;
                Transfer* transfer = nullptr;
                curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
                long status = 0;
                curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
                const bool broken = message->data.result != CURLE_OK && transfer->tries < mostTries;
                if (broken && !transfer->cancels) {
                    m_resends.push_back(
                        Resend { monotonicNow() + resendPause, transfer->job, transfer->tries + 1, transfer->due });
                } else if (!transfer->cancels) {
                    CallResult& result = m_results[transfer->job];
                    result.response = monotonicNow() - transfer->due;
                    result.status = message->data.result == CURLE_OK ? static_cast<int>(status) : 0;
                    judge(m_profile, m_jobs[transfer->job], transfer->response, result);
                }
                curl_multi_remove_handle(m_multi, transfer->handle);
                curl_easy_cleanup(transfer->handle);
                m_transfers.remove_if([transfer](const Transfer& it) { return &it == transfer; });
            }
        }

        const Profile& m_profile;
        const std::vector<Job>& m_jobs;
        const std::vector<std::string>& m_entries;
        CURLM* m_multi;
        std::list<Transfer> m_transfers;
        std::list<std::pair<TimePoint, size_t>> m_cancels;
        std::list<Resend> m_resends;
        std::vector<CallResult> m_results;
    };

} // namespace

std::vector<CallResult> sendJobs(const Profile& profile, const std::vector<Job>& jobs, const std::vector<std::string>& entries,
    const std::function<void(Duration)>& onTime)
{
    return Sender(profile, jobs, entries).run(onTime);
}

} // namespace fescuegw::load
