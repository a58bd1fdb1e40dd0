#include "operator/commands.h"

int main(int argc, char** argv) {
  return balsamhall::RunAsProcess(balsamhall::RunExplain, argc, argv);
}
