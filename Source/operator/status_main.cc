#include "operator/commands.h"

int main(int argc, char** argv) {
  return balsamhall::RunAsProcess(balsamhall::RunStatus, argc, argv);
}
