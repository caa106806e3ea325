//! Stand-in for the platform: an S3-style object store and a DynamoDB-style table service with faults.
