#pragma once

#include <string>

// A certificate authority and a certificate issued by it, as PEM files in a temporary directory.
class TestCertificates {
public:
    TestCertificates();
    ~TestCertificates();
    TestCertificates(const TestCertificates&) = delete;
    TestCertificates& operator=(const TestCertificates&) = delete;

    std::string authorityFile() const { return m_directory + "/authority.pem"; }
    std::string certificateFile() const { return m_directory + "/certificate.pem"; }
    std::string privateKeyFile() const { return m_directory + "/key.pem"; }

private:
    std::string m_directory;
};
