#include "TestCertificates.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

static Key makeKey()
{
    return Key(EVP_EC_gen("P-256"), EVP_PKEY_free);
}

static Certificate makeCertificate(const char* name, EVP_PKEY* key, X509* issuer, EVP_PKEY* issuerKey)
{
    static long serial = 1;
    Certificate certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial++);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 86400);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME* subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(name), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), issuer ? X509_get_subject_name(issuer) : subject);
    X509_EXTENSION* constraints = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, issuer ? "CA:FALSE" : "critical,CA:TRUE");
    X509_add_ext(certificate.get(), constraints, -1);
    X509_EXTENSION_free(constraints);
    X509_sign(certificate.get(), issuerKey, EVP_sha256());
    return certificate;
}

static void writeCertificate(const std::string& path, X509* certificate)
{
    FILE* file = fopen(path.c_str(), "w");
    PEM_write_X509(file, certificate);
    fclose(file);
}

TestCertificates::TestCertificates()
{
    char directory[] = "/tmp/jujuberelay-certificates-XXXXXX";
    m_directory = mkdtemp(directory);
    Key authorityKey = makeKey();
    Certificate authority = makeCertificate("authority", authorityKey.get(), nullptr, authorityKey.get());
    Key key = makeKey();
    Certificate certificate = makeCertificate("daemon", key.get(), authority.get(), authorityKey.get());
    writeCertificate(authorityFile(), authority.get());
    writeCertificate(certificateFile(), certificate.get());
    FILE* file = fopen(privateKeyFile().c_str(), "w");
    PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    fclose(file);
}

TestCertificates::~TestCertificates()
{
    remove(authorityFile().c_str());
    remove(certificateFile().c_str());
    remove(privateKeyFile().c_str());
    rmdir(m_directory.c_str());
}
