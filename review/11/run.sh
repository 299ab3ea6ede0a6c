#!/bin/sh
# A configuration with a rank over 255, and the final fault of a day.
cd "$(dirname "$0")/../.."
exec target/review-3/standins rank review/11
