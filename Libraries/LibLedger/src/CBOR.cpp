#include "CBOR.h"

namespace Ledger::CBOR {

using json = nlohmann::json;

namespace {

constexpr int maximumDepth = 12;

// SAX handler that stops the parser when values are nested too deeply or a container is declared larger than the input.
class DepthCheck : public nlohmann::json_sax<json> {
public:
    explicit DepthCheck(size_t inputBytes)
        : m_inputBytes(inputBytes)
    {
    }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t size) override { return enter(size); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t size) override { return enter(size); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

private:
    bool enter(std::size_t size)
    {
        if (size != static_cast<std::size_t>(-1) && size > m_inputBytes)
            return false;
        return ++m_depth <= maximumDepth;
    }

    bool leave()
    {
        --m_depth;
        return true;
    }

    size_t m_inputBytes;
    int m_depth { 0 };
};

const json emptyArray = json::array();

}

std::optional<json> parse(const std::string& bytes)
{
    try {
        DepthCheck check(bytes.size());
        if (!json::sax_parse(bytes, &check, json::input_format_t::cbor))
            return std::nullopt;
        json value = json::from_cbor(bytes, true, false);
        if (value.is_discarded())
            return std::nullopt;
        return value;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string serialise(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json byteString(const std::string& bytes)
{
    return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

FieldReader::FieldReader(const json& array)
    : m_array(array.is_array() ? array : emptyArray)
    , m_ok(array.is_array())
{
}

const json* FieldReader::next()
{
    if (!m_ok || m_next >= m_array.size()) {
        m_ok = false;
        return nullptr;
    }
    return &m_array[m_next++];
}

int64_t FieldReader::number(int64_t maximum)
{
    uint64_t value = unsignedNumber();
    if (value > static_cast<uint64_t>(maximum)) {
        m_ok = false;
        return 0;
    }
    return static_cast<int64_t>(value);
}

uint64_t FieldReader::unsignedNumber()
{
    const json* field = next();
    if (!field || !field->is_number_unsigned()) {
        m_ok = false;
        return 0;
    }
    return field->get<uint64_t>();
}

int64_t FieldReader::signedNumber()
{
    const json* field = next();
    if (!field || !field->is_number_integer()) {
        m_ok = false;
        return 0;
    }
    if (field->is_number_unsigned() && field->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) {
        m_ok = false;
        return 0;
    }
    return field->get<int64_t>();
}

std::string FieldReader::text(size_t maximumBytes)
{
    const json* field = next();
    if (!field || !field->is_string() || field->get_ref<const std::string&>().size() > maximumBytes) {
        m_ok = false;
        return {};
    }
    return field->get<std::string>();
}

std::string FieldReader::name(size_t maximumBytes)
{
    std::string value = text(maximumBytes);
    if (value.empty())
        m_ok = false;
    return value;
}

std::string FieldReader::bytes()
{
    const json* field = next();
    if (!field || !field->is_binary()) {
        m_ok = false;
        return {};
    }
    const json::binary_t& value = field->get_binary();
    return std::string(value.begin(), value.end());
}

const json& FieldReader::array()
{
    const json* field = next();
    if (!field || !field->is_array()) {
        m_ok = false;
        return emptyArray;
    }
    return *field;
}

bool FieldReader::isNull()
{
    return m_ok && m_next < m_array.size() && m_array[m_next].is_null() && ++m_next;
}

bool FieldReader::finished() const
{
    return m_ok && m_next == m_array.size();
}

}
